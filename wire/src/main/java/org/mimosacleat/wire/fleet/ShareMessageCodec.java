package org.mimosacleat.wire.fleet;

import java.io.IOException;
import org.mimosacleat.core.admission.Resource;
import org.mimosacleat.core.admission.ShareGrant;
import org.mimosacleat.core.admission.ShareReport;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about allowance shares as MessagePack. */
public final class ShareMessageCodec {
  private static final int REPORTS = 1;
  private static final int GRANTS = 2;

  private ShareMessageCodec() {}

  /** Encodes a message. */
  public static byte[] encode(ShareMessage message) throws IOException {
    return MessagePackUtil.encode(message, ShareMessageCodec::pack);
  }

  /**
   * Decodes a message.
   *
   * @throws PeerProtocolException if the bytes are not exactly one message
   */
  public static ShareMessage decode(byte[] bytes) throws PeerProtocolException {
    return MessagePackUtil.decode(bytes, "share message", ShareMessageCodec::unpack);
  }

  private static void pack(MessagePacker packer, ShareMessage message) throws IOException {
    switch (message) {
      case ShareMessage.Reports reports -> {
        packer.packInt(REPORTS);
        MessagePackUtil.writeList(packer, reports.reports(), ShareMessageCodec::packReport);
      }
      case ShareMessage.Grants grants -> {
        packer.packInt(GRANTS);
        MessagePackUtil.writeList(packer, grants.grants(), ShareMessageCodec::packGrant);
      }
    }
  }

  private static ShareMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case REPORTS ->
          new ShareMessage.Reports(
              MessagePackUtil.readList(unpacker, ShareMessageCodec::unpackReport));
      case GRANTS ->
          new ShareMessage.Grants(
              MessagePackUtil.readList(unpacker, ShareMessageCodec::unpackGrant));
      default -> throw new PeerProtocolException("share message: unknown type " + type);
    };
  }

  private static void packReport(MessagePacker packer, ShareReport report) throws IOException {
    packer
        .packString(report.customer().value())
        .packInt(report.resource().ordinal())
        .packString(report.holder().value())
        .packString(report.coordinator().value())
        .packLong(report.echo())
        .packLong(report.sequence())
        .packLong(report.held())
        .packLong(report.demand());
  }

  private static ShareReport unpackReport(MessageUnpacker unpacker) throws IOException {
    return new ShareReport(
        new TeamId(unpacker.unpackString()),
        Resource.values()[unpacker.unpackInt()],
        new VmId(unpacker.unpackString()),
        new VmId(unpacker.unpackString()),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }

  private static void packGrant(MessagePacker packer, ShareGrant grant) throws IOException {
    packer
        .packString(grant.customer().value())
        .packInt(grant.resource().ordinal())
        .packString(grant.holder().value())
        .packString(grant.coordinator().value())
        .packLong(grant.issued())
        .packLong(grant.sequence())
        .packLong(grant.units());
  }

  private static ShareGrant unpackGrant(MessageUnpacker unpacker) throws IOException {
    return new ShareGrant(
        new TeamId(unpacker.unpackString()),
        Resource.values()[unpacker.unpackInt()],
        new VmId(unpacker.unpackString()),
        new VmId(unpacker.unpackString()),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
