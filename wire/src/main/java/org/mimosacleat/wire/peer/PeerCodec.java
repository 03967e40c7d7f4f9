package org.mimosacleat.wire.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.wire.postgres.TransactionStatus;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes peer messages as MessagePack. */
public final class PeerCodec {
  private static final int HELLO = 1;
  private static final int PROOF = 2;
  private static final int EXECUTE_BATCH = 3;
  private static final int BATCH_COMPLETED = 4;
  private static final int BATCH_FAILED = 5;
  private static final int CANCEL_BATCH = 6;
  private static final int ROLL_BACK_TRANSACTION = 7;
  private static final int FLEET_PAYLOAD = 8;
  private static final long ABSENT = -1;

  private PeerCodec() {}

  /** Encodes a message, without the length prefix. */
  public static byte[] encode(PeerMessage message) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      pack(packer, message);
      return packer.toByteArray();
    }
  }

  /**
   * Decodes a message.
   *
   * @throws PeerProtocolException if the bytes are not exactly one known message
   */
  public static PeerMessage decode(byte[] bytes) throws PeerProtocolException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      PeerMessage message = unpack(unpacker);
      if (unpacker.hasNext()) {
        throw new PeerProtocolException(
            "peer message: unexpected bytes after the end of the message");
      }
      return message;
    } catch (PeerProtocolException malformed) {
      throw malformed;
    } catch (IOException | RuntimeException malformed) {
      throw new PeerProtocolException("peer message: " + malformed.getMessage());
    }
  }

  private static void pack(MessagePacker packer, PeerMessage message) throws IOException {
    switch (message) {
      case PeerMessage.Hello hello -> {
        packer.packInt(HELLO).packString(hello.sender().value());
        packBytes(packer, hello.nonce());
      }
      case PeerMessage.Proof proof -> packBytes(packer.packInt(PROOF), proof.code());
      case PeerMessage.ExecuteBatch execute -> {
        packer.packInt(EXECUTE_BATCH).packLong(execute.correlationId());
        packRequest(packer, execute.request());
      }
      case PeerMessage.BatchCompleted completed -> {
        packer.packInt(BATCH_COMPLETED).packLong(completed.correlationId());
        packAnswer(packer, completed.answer());
      }
      case PeerMessage.BatchFailed failed ->
          packer
              .packInt(BATCH_FAILED)
              .packLong(failed.correlationId())
              .packString(failed.failure().kind().name())
              .packString(failed.failure().detail());
      case PeerMessage.CancelBatch cancel ->
          packer.packInt(CANCEL_BATCH).packLong(cancel.correlationId());
      case PeerMessage.RollBackTransaction rollBack ->
          packer
              .packInt(ROLL_BACK_TRANSACTION)
              .packString(rollBack.group().value())
              .packLong(rollBack.transaction());
      case PeerMessage.FleetPayload fleet ->
          packBytes(packer.packInt(FLEET_PAYLOAD).packInt(fleet.channel()), fleet.payload());
    }
  }

  private static PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case HELLO -> new PeerMessage.Hello(new VmId(unpacker.unpackString()), unpackBytes(unpacker));
      case PROOF -> new PeerMessage.Proof(unpackBytes(unpacker));
      case EXECUTE_BATCH ->
          new PeerMessage.ExecuteBatch(unpacker.unpackLong(), unpackRequest(unpacker));
      case BATCH_COMPLETED ->
          new PeerMessage.BatchCompleted(unpacker.unpackLong(), unpackAnswer(unpacker));
      case BATCH_FAILED ->
          new PeerMessage.BatchFailed(unpacker.unpackLong(), unpackFailure(unpacker));
      case CANCEL_BATCH -> new PeerMessage.CancelBatch(unpacker.unpackLong());
      case ROLL_BACK_TRANSACTION ->
          new PeerMessage.RollBackTransaction(
              new GroupId(unpacker.unpackString()), unpacker.unpackLong());
      case FLEET_PAYLOAD ->
          new PeerMessage.FleetPayload(unpacker.unpackInt(), unpackBytes(unpacker));
      default -> throw new PeerProtocolException("peer message: unknown type " + type);
    };
  }

  private static void packRequest(MessagePacker packer, BatchRequest request) throws IOException {
    packer
        .packString(request.group().value())
        .packString(request.customer().value())
        .packString(request.session().value())
        .packLong(request.transaction())
        .packString(request.kind().name())
        .packLong(request.maxStaleness().map(Duration::toNanos).orElse(ABSENT))
        .packString(request.requestId().map(RequestId::value).orElse(""))
        .packBoolean(request.retryable())
        .packArrayHeader(request.sessionSettings().size());
    for (String setting : request.sessionSettings()) {
      packer.packString(setting);
    }
    packer
        .packLong(request.fingerprint())
        .packLong(request.remainingTime().toNanos())
        .packString(request.traceParent());
    packBytes(packer, request.frames());
  }

  private static BatchRequest unpackRequest(MessageUnpacker unpacker) throws IOException {
    return new BatchRequest(
        new GroupId(unpacker.unpackString()),
        new TeamId(unpacker.unpackString()),
        new SessionId(unpacker.unpackString()),
        unpacker.unpackLong(),
        StatementKind.valueOf(unpacker.unpackString()),
        Optional.of(unpacker.unpackLong())
            .filter(staleness -> staleness != ABSENT)
            .map(Duration::ofNanos),
        Optional.of(unpacker.unpackString()).filter(id -> !id.isEmpty()).map(RequestId::new),
        unpacker.unpackBoolean(),
        unpackStrings(unpacker),
        unpacker.unpackLong(),
        Duration.ofNanos(unpacker.unpackLong()),
        unpacker.unpackString(),
        unpackBytes(unpacker));
  }

  private static void packAnswer(MessagePacker packer, BatchAnswer answer) throws IOException {
    packBytes(packer, answer.frames());
    packer
        .packString(answer.status().name())
        .packLong(answer.transaction())
        .packLong(answer.position().term().number())
        .packLong(answer.position().log().bytes())
        .packBoolean(answer.hasError());
  }

  private static BatchAnswer unpackAnswer(MessageUnpacker unpacker) throws IOException {
    return new BatchAnswer(
        unpackBytes(unpacker),
        TransactionStatus.valueOf(unpacker.unpackString()),
        unpacker.unpackLong(),
        new Position(new Term(unpacker.unpackLong()), new LogPosition(unpacker.unpackLong())),
        unpacker.unpackBoolean());
  }

  private static Failure unpackFailure(MessageUnpacker unpacker) throws IOException {
    return new Failure(ErrorKind.valueOf(unpacker.unpackString()), unpacker.unpackString());
  }

  private static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<String> strings = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      strings.add(unpacker.unpackString());
    }
    return strings;
  }

  private static void packBytes(MessagePacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
    return unpacker.readPayload(unpacker.unpackBinaryHeader());
  }
}
