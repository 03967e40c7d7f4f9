package org.mimosacleat.wire.fleet;

import java.io.IOException;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.mimosacleat.core.gossip.ListDelta;
import org.mimosacleat.core.gossip.ListGossipMessage;
import org.mimosacleat.core.gossip.ListUpdate;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages that disseminate the operators' lists as MessagePack. */
public final class ListGossipMessageCodec {
  private static final int ANNOUNCE = 1;
  private static final int FETCH = 2;
  private static final int UPDATES = 3;

  private ListGossipMessageCodec() {}

  /** Encodes a message. */
  public static byte[] encode(ListGossipMessage message) throws IOException {
    return MessagePackUtil.encode(message, ListGossipMessageCodec::pack);
  }

  /**
   * Decodes a message.
   *
   * @throws PeerProtocolException if the bytes are not exactly one message
   */
  public static ListGossipMessage decode(byte[] bytes) throws PeerProtocolException {
    return MessagePackUtil.decode(bytes, "list message", ListGossipMessageCodec::unpack);
  }

  private static void pack(MessagePacker packer, ListGossipMessage message) throws IOException {
    switch (message) {
      case ListGossipMessage.Announce announce -> {
        packer.packInt(ANNOUNCE).packString(announce.sender().value());
        MessagePackUtil.writeList(
            packer, announce.versions().entrySet(), ListGossipMessageCodec::packVersion);
        MessagePackUtil.writeList(packer, announce.updates(), ListGossipMessageCodec::packUpdate);
      }
      case ListGossipMessage.Fetch fetch -> {
        packer.packInt(FETCH).packString(fetch.sender().value());
        packVersion(packer, Map.entry(fetch.list(), fetch.senderVersion()));
      }
      case ListGossipMessage.Updates updates -> {
        packer.packInt(UPDATES).packString(updates.sender().value());
        MessagePackUtil.writeList(packer, updates.updates(), ListGossipMessageCodec::packUpdate);
      }
    }
  }

  private static ListGossipMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    VmId sender = new VmId(unpacker.unpackString());
    return switch (type) {
      case ANNOUNCE ->
          new ListGossipMessage.Announce(
              sender,
              unpackVersions(unpacker),
              MessagePackUtil.readList(unpacker, ListGossipMessageCodec::unpackUpdate));
      case FETCH ->
          new ListGossipMessage.Fetch(
              sender,
              ListKind.values()[unpacker.unpackInt()],
              new ListVersion(unpacker.unpackLong()));
      case UPDATES ->
          new ListGossipMessage.Updates(
              sender, MessagePackUtil.readList(unpacker, ListGossipMessageCodec::unpackUpdate));
      default -> throw new PeerProtocolException("list message: unknown type " + type);
    };
  }

  private static void packVersion(MessagePacker packer, Map.Entry<ListKind, ListVersion> version)
      throws IOException {
    packer.packInt(version.getKey().ordinal()).packLong(version.getValue().number());
  }

  private static Map<ListKind, ListVersion> unpackVersions(MessageUnpacker unpacker)
      throws IOException {
    int count = unpacker.unpackArrayHeader();
    Map<ListKind, ListVersion> versions = new TreeMap<>();
    for (int index = 0; index < count; index++) {
      versions.put(ListKind.values()[unpacker.unpackInt()], new ListVersion(unpacker.unpackLong()));
    }
    return versions;
  }

  private static void packUpdate(MessagePacker packer, ListUpdate update) throws IOException {
    switch (update) {
      case ListUpdate.Full full -> {
        packer.packBoolean(true);
        packList(packer, full.list());
      }
      case ListDelta delta -> {
        packer.packBoolean(false);
        packList(packer, delta.header());
        packer
            .packInt(delta.prefixLength())
            .packInt(delta.suffixLength())
            .packString(delta.inserted())
            .packInt(delta.textHash());
      }
    }
  }

  private static ListUpdate unpackUpdate(MessageUnpacker unpacker) throws IOException {
    boolean full = unpacker.unpackBoolean();
    PublishedList list = unpackList(unpacker);
    return full
        ? new ListUpdate.Full(list)
        : new ListDelta(
            list,
            unpacker.unpackInt(),
            unpacker.unpackInt(),
            unpacker.unpackString(),
            unpacker.unpackInt());
  }

  private static void packList(MessagePacker packer, PublishedList list) throws IOException {
    packer
        .packInt(list.kind().ordinal())
        .packLong(list.version().number())
        .packString(list.writer())
        .packString(list.editor())
        .packLong(list.editedAt().toEpochMilli())
        .packString(list.note())
        .packString(list.text());
  }

  private static PublishedList unpackList(MessageUnpacker unpacker) throws IOException {
    return new PublishedList(
        ListKind.values()[unpacker.unpackInt()],
        new ListVersion(unpacker.unpackLong()),
        unpacker.unpackString(),
        unpacker.unpackString(),
        Instant.ofEpochMilli(unpacker.unpackLong()),
        unpacker.unpackString(),
        unpacker.unpackString());
  }
}
