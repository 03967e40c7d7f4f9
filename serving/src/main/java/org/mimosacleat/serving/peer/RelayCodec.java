package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.ApiKey;
import org.mimosacleat.serving.fleet.DatabaseName;
import org.mimosacleat.serving.fleet.ReadConsistency;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.promotion.Confirmation;
import org.mimosacleat.serving.promotion.PrimaryRecord;
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
import org.mimosacleat.wire.fleet.MessagePackUtil;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the contents of frames. Times are in microseconds. */
final class RelayCodec {
  private static final int RUN_STATEMENT = 1;
  private static final int RUN_IN_TRANSACTION = 2;
  private static final int COMMIT = 3;
  private static final int ROLL_BACK = 4;
  private static final int LATEST = 1;
  private static final int BOUNDED_STALENESS = 2;
  private static final int READ_YOUR_WRITES = 3;
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

  private RelayCodec() {}

  static void packRequest(MessagePacker packer, RelayRequest request) throws IOException {
    switch (request) {
      case RelayRequest.RunStatement(RelayContext context, ForwardedStatement statement) -> {
        packer.packInt(RUN_STATEMENT);
        packWork(packer, context, statement);
      }
      case RelayRequest.RunInTransaction run -> {
        packer
            .packInt(RUN_IN_TRANSACTION)
            .packLong(run.transaction())
            .packBoolean(run.first())
            .packBoolean(run.readOnly());
        packWork(packer, run.context(), run.statement());
      }
      case RelayRequest.Commit commit -> {
        packer.packInt(COMMIT).packLong(commit.transaction());
        packWork(packer, commit.context(), commit.statement());
      }
      case RelayRequest.RollBack(long transaction) ->
          packer.packInt(ROLL_BACK).packLong(transaction);
    }
  }

  static RelayRequest unpackRequest(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case RUN_STATEMENT ->
          new RelayRequest.RunStatement(unpackContext(unpacker), unpackStatement(unpacker));
      case RUN_IN_TRANSACTION ->
          new RelayRequest.RunInTransaction(
              unpacker.unpackLong(),
              unpacker.unpackBoolean(),
              unpacker.unpackBoolean(),
              unpackContext(unpacker),
              unpackStatement(unpacker));
      case COMMIT ->
          new RelayRequest.Commit(
              unpacker.unpackLong(), unpackContext(unpacker), unpackStatement(unpacker));
      case ROLL_BACK -> new RelayRequest.RollBack(unpacker.unpackLong());
      default -> throw new PeerProtocolException("relayed request: unknown type " + type);
    };
  }

  static void packReply(MessagePacker packer, RelayReply reply) throws IOException {
    Answer answer = reply.answer();
    MessagePackUtil.writeStrings(packer, answer.rows());
    packOptional(packer, answer.signature());
    packer.packBoolean(answer.failure().isPresent());
    if (answer.failure().isPresent()) {
      Failure failure = answer.failure().get();
      packer.packString(failure.kind().name()).packString(failure.detail());
    }
    packer.packString(answer.status().name()).packBoolean(answer.position().isPresent());
    if (answer.position().isPresent()) {
      packPosition(packer, answer.position().get());
    }
    packPosition(packer, reply.lastWrite());
  }

  static RelayReply unpackReply(MessageUnpacker unpacker) throws IOException {
    Answer answer =
        new Answer(
            MessagePackUtil.readStrings(unpacker),
            unpackOptional(unpacker),
            unpacker.unpackBoolean() ? Optional.of(unpackFailure(unpacker)) : Optional.empty(),
            TransactionStatus.valueOf(unpacker.unpackString()),
            unpacker.unpackBoolean() ? Optional.of(unpackPosition(unpacker)) : Optional.empty());
    return new RelayReply(answer, unpackPosition(unpacker));
  }

  static void packClaim(MessagePacker packer, RecordedPrimary claim) throws IOException {
    PrimaryRecord record = claim.record();
    Replacement replacement = record.replacement().orElseThrow();
    packer.packString(record.group().value());
    packOptional(packer, record.primary().map(EndpointId::value));
    packer
        .packLong(record.term().number())
        .packLong(record.round())
        .packString(replacement.holder().value())
        .packBoolean(replacement.planned())
        .packLong(record.confirmation().era().number())
        .packLong(record.confirmation().returnSeenAt())
        .packLong(claim.version().era().number())
        .packLong(claim.version().number());
    LogCopiesCodec.pack(packer, record.copies());
  }

  static RecordedPrimary unpackClaim(MessageUnpacker unpacker) throws IOException {
    PrimaryRecord record =
        new PrimaryRecord(
            new GroupId(unpacker.unpackString()),
            unpackOptional(unpacker).map(EndpointId::new),
            new Term(unpacker.unpackLong()),
            unpacker.unpackLong(),
            Optional.of(
                new Replacement(new VmId(unpacker.unpackString()), unpacker.unpackBoolean())),
            new Confirmation(new StoreEra(unpacker.unpackLong()), unpacker.unpackLong()));
    StoreVersion version =
        new StoreVersion(new StoreEra(unpacker.unpackLong()), unpacker.unpackLong());
    return new RecordedPrimary(record.withCopies(LogCopiesCodec.unpack(unpacker)), version);
  }

  private static Failure unpackFailure(MessageUnpacker unpacker) throws IOException {
    return new Failure(ErrorKind.valueOf(unpacker.unpackString()), unpacker.unpackString());
  }

  private static void packWork(
      MessagePacker packer, RelayContext context, ForwardedStatement statement) throws IOException {
    packRoute(packer, context.route());
    packOptional(packer, context.team().map(TeamId::value));
    packOptional(packer, context.key().map(ApiKey::value));
    packer.packLong(context.configurationVersion());
    packer.packMapHeader(context.values().size());
    for (Map.Entry<String, String> value : context.values().entrySet()) {
      packer.packString(value.getKey()).packString(value.getValue());
    }
    packPosition(packer, context.lastWrite());
    packDuration(packer, context.elapsed());
    packStatement(packer, statement);
  }

  private static RelayContext unpackContext(MessageUnpacker unpacker) throws IOException {
    Route route = unpackRoute(unpacker);
    Optional<TeamId> team = unpackOptional(unpacker).map(TeamId::new);
    Optional<ApiKey> key = unpackOptional(unpacker).map(ApiKey::new);
    long configurationVersion = unpacker.unpackLong();
    int count = unpacker.unpackMapHeader();
    Map<String, String> values = new HashMap<>();
    for (int index = 0; index < count; index++) {
      values.put(unpacker.unpackString(), unpacker.unpackString());
    }
    return new RelayContext(
        route,
        team,
        key,
        configurationVersion,
        values,
        unpackPosition(unpacker),
        unpackDuration(unpacker));
  }

  private static void packRoute(MessagePacker packer, Route route) throws IOException {
    packer.packString(route.database().value()).packString(route.group().value());
    switch (route.readConsistency()) {
      case ReadConsistency.Latest() -> packer.packInt(LATEST);
      case ReadConsistency.BoundedStaleness(Duration age) ->
          packDuration(packer.packInt(BOUNDED_STALENESS), age);
      case ReadConsistency.ReadYourWrites(Duration age) ->
          packDuration(packer.packInt(READ_YOUR_WRITES), age);
    }
    packDuration(packer, route.statementTimeout());
    packDuration(packer, route.latencyObjective());
    packer.packInt(route.priority()).packBoolean(route.openToAll());
  }

  private static Route unpackRoute(MessageUnpacker unpacker) throws IOException {
    return new Route(
        new DatabaseName(unpacker.unpackString()),
        new GroupId(unpacker.unpackString()),
        unpackConsistency(unpacker),
        unpackDuration(unpacker),
        unpackDuration(unpacker),
        unpacker.unpackInt(),
        unpacker.unpackBoolean());
  }

  private static ReadConsistency unpackConsistency(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case LATEST -> new ReadConsistency.Latest();
      case BOUNDED_STALENESS -> new ReadConsistency.BoundedStaleness(unpackDuration(unpacker));
      case READ_YOUR_WRITES -> new ReadConsistency.ReadYourWrites(unpackDuration(unpacker));
      default -> throw new PeerProtocolException("relayed request: unknown consistency " + type);
    };
  }

  private static void packStatement(MessagePacker packer, ForwardedStatement statement)
      throws IOException {
    packer
        .packString(statement.id().value())
        .packString(statement.text())
        .packBoolean(statement.writes());
    packOptional(packer, statement.shape().map(PreparedShape::shape));
    packer.packString(statement.arguments());
  }

  private static ForwardedStatement unpackStatement(MessageUnpacker unpacker) throws IOException {
    StatementId id = new StatementId(unpacker.unpackString());
    String text = unpacker.unpackString();
    boolean writes = unpacker.unpackBoolean();
    Optional<PreparedShape> shape =
        unpackOptional(unpacker).map(name -> new PreparedShape(writes, name));
    return new ForwardedStatement(id, text, writes, shape, unpacker.unpackString());
  }

  static void packPosition(MessagePacker packer, Position position) throws IOException {
    packer.packLong(position.term().number()).packLong(position.log().bytes());
  }

  static Position unpackPosition(MessageUnpacker unpacker) throws IOException {
    return new Position(new Term(unpacker.unpackLong()), new LogPosition(unpacker.unpackLong()));
  }

  private static void packDuration(MessagePacker packer, Duration duration) throws IOException {
    packer.packLong(duration.toNanos() / NANOSECONDS_PER_MICROSECOND);
  }

  private static Duration unpackDuration(MessageUnpacker unpacker) throws IOException {
    return Duration.ofNanos(Math.multiplyExact(unpacker.unpackLong(), NANOSECONDS_PER_MICROSECOND));
  }

  private static void packOptional(MessagePacker packer, Optional<String> text) throws IOException {
    if (text.isEmpty()) {
      packer.packNil();
      return;
    }
    packer.packString(text.get());
  }

  private static Optional<String> unpackOptional(MessageUnpacker unpacker) throws IOException {
    return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
  }
}
