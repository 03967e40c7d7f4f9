package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.util.Optional;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.serving.feed.FeedPage;
import org.mimosacleat.serving.limits.LimitAnswer;
import org.mimosacleat.serving.promotion.RecordedPrimary;
import org.mimosacleat.serving.version.StoreVersion;
import org.mimosacleat.wire.fleet.MessagePackUtil;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes frames between proxies as MessagePack. */
final class PeerFrameCodec {
  private static final String NAME = "relay frame";
  private static final int REQUEST = 1;
  private static final int REPLY = 2;
  private static final int REJECTED = 3;
  private static final int PING = 4;
  private static final int PONG = 5;
  private static final int LEAVING = 6;
  private static final int STOP_PRIMARY = 7;
  private static final int STOPPED = 8;
  private static final int FOLLOW = 9;
  private static final int CHANGES = 10;
  private static final int STORE_CONTACT = 11;
  private static final int ASK_CONTACT = 12;
  private static final int REPORT_DEMAND = 20;
  private static final int GRANT_SHARES = 21;
  private static final int RENEW_LEASE = 30;
  private static final int LEASE_RENEWED = 31;

  private PeerFrameCodec() {}

  static byte[] encode(PeerFrame frame) throws IOException {
    return MessagePackUtil.encode(frame, PeerFrameCodec::pack);
  }

  static PeerFrame decode(byte[] bytes) throws PeerProtocolException {
    return MessagePackUtil.decode(bytes, NAME, PeerFrameCodec::unpack);
  }

  private static void pack(MessagePacker packer, PeerFrame frame) throws IOException {
    switch (frame) {
      case PeerFrame.Request request -> {
        packer.packInt(REQUEST).packLong(request.correlationId());
        RelayCodec.packRequest(packer, request.request());
      }
      case PeerFrame.Reply reply -> {
        packer.packInt(REPLY).packLong(reply.correlationId());
        RelayCodec.packReply(packer, reply.reply());
      }
      case PeerFrame.Rejected rejected ->
          packer.packInt(REJECTED).packLong(rejected.correlationId()).packString(rejected.reason());
      case PeerFrame.StopPrimary(long correlationId, RecordedPrimary claim) -> {
        packer.packInt(STOP_PRIMARY).packLong(correlationId);
        RelayCodec.packClaim(packer, claim);
      }
      case PeerFrame.Stopped stopped ->
          packer.packInt(STOPPED).packLong(stopped.correlationId()).packBoolean(stopped.fenced());
      case PeerFrame.Follow(Optional<StoreVersion> known) -> {
        packer.packInt(FOLLOW).packBoolean(known.isPresent());
        if (known.isPresent()) {
          RenewalCodec.packVersion(packer, known.get());
        }
      }
      case PeerFrame.Changes(FeedPage page) -> FeedCodec.pack(packer.packInt(CHANGES), page);
      case PeerFrame.AskContact(long nonce) -> packer.packInt(ASK_CONTACT).packLong(nonce);
      case PeerFrame.StoreContact contact ->
          FeedCodec.packContact(packer.packInt(STORE_CONTACT), contact);
      case PeerFrame.Ping _ -> packer.packInt(PING);
      case PeerFrame.Pong _ -> packer.packInt(PONG);
      case PeerFrame.Leaving _ -> packer.packInt(LEAVING);
      case PeerFrame.ReportDemand(long correlationId, DemandReport report) ->
          LimitCodec.packReport(packer.packInt(REPORT_DEMAND).packLong(correlationId), report);
      case PeerFrame.GrantShares(long correlationId, LimitAnswer answer) ->
          LimitCodec.packAnswer(packer.packInt(GRANT_SHARES).packLong(correlationId), answer);
      case PeerFrame.RenewLease renew -> {
        packer.packInt(RENEW_LEASE).packLong(renew.correlationId());
        RenewalCodec.packRecord(packer, renew.proxy());
        RenewalCodec.packVersion(packer, renew.expected());
      }
      case PeerFrame.LeaseRenewed(long correlationId, StoreVersion version) ->
          RenewalCodec.packVersion(packer.packInt(LEASE_RENEWED).packLong(correlationId), version);
    }
  }

  private static PeerFrame unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case REQUEST ->
          new PeerFrame.Request(unpacker.unpackLong(), RelayCodec.unpackRequest(unpacker));
      case REPLY -> new PeerFrame.Reply(unpacker.unpackLong(), RelayCodec.unpackReply(unpacker));
      case REJECTED -> new PeerFrame.Rejected(unpacker.unpackLong(), unpacker.unpackString());
      case STOP_PRIMARY ->
          new PeerFrame.StopPrimary(unpacker.unpackLong(), RelayCodec.unpackClaim(unpacker));
      case STOPPED -> new PeerFrame.Stopped(unpacker.unpackLong(), unpacker.unpackBoolean());
      case FOLLOW ->
          new PeerFrame.Follow(
              unpacker.unpackBoolean()
                  ? Optional.of(RenewalCodec.unpackVersion(unpacker))
                  : Optional.empty());
      case CHANGES -> new PeerFrame.Changes(FeedCodec.unpack(unpacker));
      case ASK_CONTACT -> new PeerFrame.AskContact(unpacker.unpackLong());
      case STORE_CONTACT -> FeedCodec.unpackContact(unpacker);
      case PING -> new PeerFrame.Ping();
      case PONG -> new PeerFrame.Pong();
      case LEAVING -> new PeerFrame.Leaving();
      case REPORT_DEMAND ->
          new PeerFrame.ReportDemand(unpacker.unpackLong(), LimitCodec.unpackReport(unpacker));
      case GRANT_SHARES ->
          new PeerFrame.GrantShares(unpacker.unpackLong(), LimitCodec.unpackAnswer(unpacker));
      case RENEW_LEASE ->
          new PeerFrame.RenewLease(
              unpacker.unpackLong(),
              RenewalCodec.unpackRecord(unpacker),
              RenewalCodec.unpackVersion(unpacker));
      case LEASE_RENEWED ->
          new PeerFrame.LeaseRenewed(unpacker.unpackLong(), RenewalCodec.unpackVersion(unpacker));
      default -> throw new PeerProtocolException(NAME + ": unknown type " + type);
    };
  }
}
