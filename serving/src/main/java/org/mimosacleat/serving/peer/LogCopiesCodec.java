package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.serving.promotion.LogCopies;
import org.mimosacleat.serving.promotion.LogCopy;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes where acknowledged commits may be, at the end of a frame. Frames of groups
 * without synchronous replicas, and of earlier versions, do not have that part.
 */
final class LogCopiesCodec {
  private LogCopiesCodec() {}

  static void pack(MessagePacker packer, LogCopies copies) throws IOException {
    if (!copies.areKept()) {
      return;
    }
    packer.packArrayHeader(copies.copies().size());
    for (LogCopy copy : copies.copies()) {
      packer.packString(copy.endpoint().value());
      RenewalCodec.packAddress(packer, copy.address());
      packer
          .packLong(copy.startedAtMillis())
          .packBoolean(copy.draining())
          .packLong(copy.successorStartedAtMillis());
    }
    RelayCodec.packPosition(packer, copies.required());
    packer.packBoolean(copies.complete());
  }

  static LogCopies unpack(MessageUnpacker unpacker) throws IOException {
    if (!unpacker.hasNext()) {
      return LogCopies.NONE;
    }
    int count = unpacker.unpackArrayHeader();
    Set<LogCopy> copies = new HashSet<>();
    for (int index = 0; index < count; index++) {
      copies.add(
          new LogCopy(
              new EndpointId(unpacker.unpackString()),
              RenewalCodec.unpackAddress(unpacker),
              unpacker.unpackLong(),
              unpacker.unpackBoolean(),
              unpacker.unpackLong()));
    }
    return new LogCopies(copies, RelayCodec.unpackPosition(unpacker), unpacker.unpackBoolean());
  }
}
