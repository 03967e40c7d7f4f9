package org.mimosacleat.wire.fleet;

import java.io.IOException;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.membership.MemberRecord;
import org.mimosacleat.core.membership.MemberStatus;
import org.mimosacleat.core.membership.MembershipMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes membership messages as MessagePack. */
public final class MembershipMessageCodec {
  private static final int PING = 1;
  private static final int ACKNOWLEDGEMENT = 2;
  private static final int INDIRECT_PING = 3;
  private static final int COMPARE = 4;
  private static final int BUCKET = 5;

  private MembershipMessageCodec() {}

  /** Encodes a message. */
  public static byte[] encode(MembershipMessage message) throws IOException {
    return MessagePackUtil.encode(message, MembershipMessageCodec::pack);
  }

  /**
   * Decodes a message.
   *
   * @throws PeerProtocolException if the bytes are not exactly one message
   */
  public static MembershipMessage decode(byte[] bytes) throws PeerProtocolException {
    return MessagePackUtil.decode(bytes, "membership message", MembershipMessageCodec::unpack);
  }

  private static void pack(MessagePacker packer, MembershipMessage message) throws IOException {
    packer.packInt(typeOf(message));
    packRecord(packer, message.sender());
    switch (message) {
      case MembershipMessage.Ping ping -> packer.packLong(ping.sequence());
      case MembershipMessage.Acknowledgement acknowledgement ->
          packer.packLong(acknowledgement.sequence());
      case MembershipMessage.IndirectPing ping ->
          packer.packLong(ping.sequence()).packString(ping.target().value());
      case MembershipMessage.CompareDigest compare ->
          packer.packInt(compare.bucket()).packInt(compare.buckets()).packLong(compare.digest());
      case MembershipMessage.BucketRecords bucket -> packer.packBoolean(bucket.isResponse());
    }
    MessagePackUtil.writeList(packer, message.records(), MembershipMessageCodec::packRecord);
  }

  private static int typeOf(MembershipMessage message) {
    return switch (message) {
      case MembershipMessage.Ping any -> PING;
      case MembershipMessage.Acknowledgement any -> ACKNOWLEDGEMENT;
      case MembershipMessage.IndirectPing any -> INDIRECT_PING;
      case MembershipMessage.CompareDigest any -> COMPARE;
      case MembershipMessage.BucketRecords any -> BUCKET;
    };
  }

  private static MembershipMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    MemberRecord sender = unpackRecord(unpacker);
    return switch (type) {
      case PING ->
          new MembershipMessage.Ping(sender, unpacker.unpackLong(), unpackRecords(unpacker));
      case ACKNOWLEDGEMENT ->
          new MembershipMessage.Acknowledgement(
              sender, unpacker.unpackLong(), unpackRecords(unpacker));
      case INDIRECT_PING ->
          new MembershipMessage.IndirectPing(
              sender,
              unpacker.unpackLong(),
              new VmId(unpacker.unpackString()),
              unpackRecords(unpacker));
      case COMPARE -> unpackCompare(unpacker, sender);
      case BUCKET -> unpackBucket(unpacker, sender);
      default -> throw new PeerProtocolException("membership message: unknown type " + type);
    };
  }

  private static MembershipMessage unpackCompare(MessageUnpacker unpacker, MemberRecord sender)
      throws IOException {
    MembershipMessage compare =
        new MembershipMessage.CompareDigest(
            sender, unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong());
    unpackRecords(unpacker);
    return compare;
  }

  private static MembershipMessage unpackBucket(MessageUnpacker unpacker, MemberRecord sender)
      throws IOException {
    boolean isAnswer = unpacker.unpackBoolean();
    return new MembershipMessage.BucketRecords(sender, unpackRecords(unpacker), isAnswer);
  }

  private static List<MemberRecord> unpackRecords(MessageUnpacker unpacker) throws IOException {
    return MessagePackUtil.readList(unpacker, MembershipMessageCodec::unpackRecord);
  }

  private static void packRecord(MessagePacker packer, MemberRecord record) throws IOException {
    packer
        .packString(record.vm().value())
        .packString(record.zone().value())
        .packString(record.address())
        .packLong(record.incarnation())
        .packInt(record.status().ordinal())
        .packString(record.source().value());
  }

  private static MemberRecord unpackRecord(MessageUnpacker unpacker) throws IOException {
    return new MemberRecord(
        new VmId(unpacker.unpackString()),
        new AvailabilityZone(unpacker.unpackString()),
        unpacker.unpackString(),
        unpacker.unpackLong(),
        MemberStatus.values()[unpacker.unpackInt()],
        new VmId(unpacker.unpackString()));
  }
}
