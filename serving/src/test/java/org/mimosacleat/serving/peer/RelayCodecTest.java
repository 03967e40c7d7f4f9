package org.mimosacleat.serving.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.feed.FeedPage;
import org.mimosacleat.serving.fleet.ApiKey;
import org.mimosacleat.serving.fleet.DatabaseName;
import org.mimosacleat.serving.fleet.ReadConsistency;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.promotion.Confirmation;
import org.mimosacleat.serving.promotion.LogCopies;
import org.mimosacleat.serving.promotion.LogCopy;
import org.mimosacleat.serving.promotion.PrimaryRecord;
import org.mimosacleat.serving.promotion.ProxyRecord;
import org.mimosacleat.serving.promotion.RecordedPrimary;
import org.mimosacleat.serving.promotion.Replacement;
import org.mimosacleat.serving.relay.RelayContext;
import org.mimosacleat.serving.relay.RelayReply;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ForwardedStatement;
import org.mimosacleat.serving.statement.PreparedShape;
import org.mimosacleat.serving.statement.StatementId;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;
import org.mimosacleat.wire.peer.PeerProtocolException;

class RelayCodecTest {
  private static final Position POSITION = new Position(new Term(3), new LogPosition(1207));

  @Test
  void everyFrameIsDecodedAsItWasEncoded() throws IOException {
    ForwardedStatement plain =
        new ForwardedStatement(new StatementId("5c0e"), "WRITE a 1", true, Optional.empty(), "");
    ForwardedStatement prepared =
        new ForwardedStatement(
            new StatementId("5c0f"),
            "EXEC s1 a",
            false,
            Optional.of(new PreparedShape(false, "q2c")),
            "a");
    for (PeerFrame frame :
        List.of(
            new PeerFrame.Ping(),
            new PeerFrame.Pong(),
            new PeerFrame.Leaving(),
            new PeerFrame.Rejected(4, "busy"),
            new PeerFrame.Follow(Optional.empty()),
            new PeerFrame.Follow(Optional.of(new StoreVersion(new StoreEra(2), 7))),
            new PeerFrame.AskContact(12),
            new PeerFrame.StoreContact(
                12, Duration.ofMillis(40), new StoreVersion(new StoreEra(2), 9)),
            new PeerFrame.Changes(new FeedPage("op", new StoreEra(2), 3, 9, List.of())),
            new PeerFrame.StopPrimary(8, claim(LogCopies.NONE)),
            new PeerFrame.StopPrimary(8, claim(copies())),
            new PeerFrame.Stopped(8, true),
            new PeerFrame.RenewLease(9, leaseRecord(), new StoreVersion(new StoreEra(3), 78)),
            new PeerFrame.RenewLease(
                10,
                new ProxyRecord(new VmId("vm-2"), Optional.empty(), Optional.empty(), 5),
                StoreVersion.absent(new StoreEra(3))),
            new PeerFrame.LeaseRenewed(9, new StoreVersion(new StoreEra(3), 79)),
            new PeerFrame.Request(5, new RelayRequest.RollBack(9)),
            new PeerFrame.Request(6, new RelayRequest.Commit(9, context(), plain)),
            new PeerFrame.Request(7, new RelayRequest.RunStatement(context(), plain)),
            request(new ReadConsistency.Latest(), plain),
            request(new ReadConsistency.BoundedStaleness(Duration.ofMillis(1_500)), prepared),
            request(new ReadConsistency.ReadYourWrites(Duration.ofMillis(2_500)), prepared),
            new PeerFrame.Reply(6, new RelayReply(success(), POSITION)),
            new PeerFrame.Reply(7, new RelayReply(failure(), Position.NONE)))) {
      assertEquals(frame, PeerFrameCodec.decode(PeerFrameCodec.encode(frame)));
    }
  }

  @Test
  void truncatedFrameIsRejected() throws IOException {
    byte[] bytes =
        PeerFrameCodec.encode(new PeerFrame.Reply(6, new RelayReply(success(), POSITION)));
    for (int length = 0; length < bytes.length; length++) {
      byte[] truncated = Arrays.copyOf(bytes, length);
      assertThrows(PeerProtocolException.class, () -> PeerFrameCodec.decode(truncated));
    }
  }

  private static ProxyRecord leaseRecord() throws IOException {
    InetAddress address = InetAddress.getByAddress(new byte[] {10, 1, 0, (byte) 200});
    FleetMember member =
        new FleetMember(
            new VmId("vm-1"), new AvailabilityZone("nz"), new InetSocketAddress(address, 7_440));
    return new ProxyRecord(member, Set.of(new GroupId("ledger-1"), new GroupId("ledger-2")), 900);
  }

  private static LogCopies copies() throws IOException {
    InetAddress address = InetAddress.getByAddress(new byte[] {10, 1, 0, (byte) 200});
    LogCopy copy =
        new LogCopy(
            new EndpointId("i-1"), new InetSocketAddress(address, 7_440), 1_700, true, 1_800);
    return new LogCopies(Set.of(copy), POSITION, true);
  }

  private static RecordedPrimary claim(LogCopies copies) {
    Replacement replacement = new Replacement(new VmId("vm-1"), false);
    PrimaryRecord record =
        new PrimaryRecord(
            new GroupId("ledger-1"),
            Optional.of(new EndpointId("i-1")),
            new Term(3),
            4,
            Optional.of(replacement),
            new Confirmation(new StoreEra(2), 15_000),
            copies);
    return new RecordedPrimary(record, new StoreVersion(new StoreEra(3), 77));
  }

  private static PeerFrame request(ReadConsistency consistency, ForwardedStatement statement) {
    return new PeerFrame.Request(
        1, new RelayRequest.RunInTransaction(2, true, false, context(consistency), statement));
  }

  private static RelayContext context() {
    return context(new ReadConsistency.Latest());
  }

  private static RelayContext context(ReadConsistency consistency) {
    Route route =
        new Route(
            new DatabaseName("lepu270"),
            new GroupId("ledger-1"),
            consistency,
            Duration.ofMillis(1_000),
            Duration.ofMillis(200),
            1,
            true);
    return new RelayContext(
        route,
        Optional.of(new TeamId("crew")),
        Optional.of(new ApiKey("crew-key-71")),
        12,
        Map.of("zone", "nz"),
        POSITION,
        Duration.ofMillis(3));
  }

  private static Answer success() {
    return new Answer(
        List.of("row"),
        Optional.of("7.1f3"),
        Optional.empty(),
        TransactionStatus.IN_TRANSACTION,
        Optional.of(POSITION));
  }

  private static Answer failure() {
    return Answer.failed(new Failure(ErrorKind.REPLICA_BEHIND, "behind"), TransactionStatus.FAILED);
  }
}
