package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.time.Duration;
import org.mimosacleat.serving.feed.FeedPage;
import org.mimosacleat.serving.feed.FeedRow;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;
import org.mimosacleat.wire.fleet.MessagePackUtil;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes changes of the store. */
final class FeedCodec {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private FeedCodec() {}

  static void pack(MessagePacker packer, FeedPage page) throws IOException {
    packer.packString(page.table()).packLong(page.era().number());
    packer.packLong(page.after()).packLong(page.version());
    MessagePackUtil.writeList(packer, page.rows(), FeedCodec::packRow);
  }

  static FeedPage unpack(MessageUnpacker unpacker) throws IOException {
    return new FeedPage(
        unpacker.unpackString(),
        new StoreEra(unpacker.unpackLong()),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        MessagePackUtil.readList(unpacker, FeedCodec::unpackRow));
  }

  /** The age is rounded up to whole milliseconds, so that no proof looks younger than it is. */
  static void packContact(MessagePacker packer, PeerFrame.StoreContact contact) throws IOException {
    packer.packLong(contact.nonce());
    packer.packLong(Math.ceilDiv(contact.age().toNanos(), NANOS_PER_MILLI));
    packer.packLong(contact.version().era().number()).packLong(contact.version().number());
  }

  static PeerFrame.StoreContact unpackContact(MessageUnpacker unpacker) throws IOException {
    return new PeerFrame.StoreContact(
        unpacker.unpackLong(),
        Duration.ofMillis(unpacker.unpackLong()),
        new StoreVersion(new StoreEra(unpacker.unpackLong()), unpacker.unpackLong()));
  }

  private static void packRow(MessagePacker packer, FeedRow row) throws IOException {
    packer.packString(row.key()).packLong(row.version()).packBoolean(row.removed());
    packer.packBinaryHeader(row.value().length).writePayload(row.value());
  }

  private static FeedRow unpackRow(MessageUnpacker unpacker) throws IOException {
    String key = unpacker.unpackString();
    long version = unpacker.unpackLong();
    boolean removed = unpacker.unpackBoolean();
    byte[] value = unpacker.readPayload(unpacker.unpackBinaryHeader());
    return new FeedRow(key, value, version, removed);
  }
}
