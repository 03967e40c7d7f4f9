package org.mimosacleat.lab.measure.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.gossip.ListDelta;
import org.mimosacleat.core.gossip.ListGossipMessage;
import org.mimosacleat.core.gossip.ListUpdate;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.membership.MemberRecord;
import org.mimosacleat.core.membership.MembershipMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Computes the size of a message on the wire: MessagePack without field names, plus the IP and UDP
 * headers.
 */
final class MessageSize {
  /** The size of the IPv4 and UDP headers, in bytes. */
  static final int DATAGRAM_HEADERS = 28;

  private MessageSize() {}

  static int of(MembershipMessage message) {
    return sizeOf(
        packer -> {
          packer.packInt(0);
          pack(packer, message.sender());
          packer.packArrayHeader(message.records().size());
          for (MemberRecord record : message.records()) {
            pack(packer, record);
          }
          switch (message) {
            case MembershipMessage.Ping ping -> packer.packLong(ping.sequence());
            case MembershipMessage.Acknowledgement answer -> packer.packLong(answer.sequence());
            case MembershipMessage.IndirectPing ping ->
                packer.packLong(ping.sequence()).packString(ping.target().value());
            case MembershipMessage.CompareDigest compare ->
                packer
                    .packInt(compare.bucket())
                    .packInt(compare.buckets())
                    .packLong(compare.digest());
            case MembershipMessage.BucketRecords bucket -> packer.packBoolean(bucket.isResponse());
          }
        });
  }

  static int of(ListGossipMessage message) {
    return sizeOf(
        packer -> {
          packer.packInt(0).packString(message.sender().value());
          switch (message) {
            case ListGossipMessage.Announce announce -> {
              packer.packMapHeader(announce.versions().size());
              for (Map.Entry<ListKind, ListVersion> entry : announce.versions().entrySet()) {
                packer.packInt(entry.getKey().ordinal()).packLong(entry.getValue().number());
              }
              pack(packer, announce.updates());
            }
            case ListGossipMessage.Fetch fetch ->
                packer.packInt(fetch.list().ordinal()).packLong(fetch.senderVersion().number());
            case ListGossipMessage.Updates updates -> pack(packer, updates.updates());
          }
        });
  }

  /** Returns the size of a message of short names and numbers, such as a heartbeat or a renewal. */
  static int of(List<String> names, int numbers) {
    return sizeOf(
        packer -> {
          packer.packInt(0);
          for (String name : names) {
            packer.packString(name);
          }
          for (int number = 0; number < numbers; number++) {
            packer.packLong(Integer.MAX_VALUE + (long) number);
          }
        });
  }

  private static void pack(MessageBufferPacker packer, MemberRecord record) throws IOException {
    packer
        .packString(record.vm().value())
        .packString(record.zone().value())
        .packString(record.address())
        .packLong(record.incarnation())
        .packInt(record.status().ordinal())
        .packString(record.source().value());
  }

  private static void pack(MessageBufferPacker packer, List<ListUpdate> updates)
      throws IOException {
    packer.packArrayHeader(updates.size());
    for (ListUpdate update : updates) {
      switch (update) {
        case ListUpdate.Full full -> pack(packer, full.list());
        case ListDelta delta -> {
          pack(packer, delta.header());
          packer
              .packInt(delta.prefixLength())
              .packInt(delta.suffixLength())
              .packString(delta.inserted())
              .packInt(delta.textHash());
        }
      }
    }
  }

  private static void pack(MessageBufferPacker packer, PublishedList list) throws IOException {
    packer
        .packInt(list.kind().ordinal())
        .packLong(list.version().number())
        .packString(list.writer())
        .packString(list.editor())
        .packLong(list.editedAt().toEpochMilli())
        .packString(list.note())
        .packString(list.text());
  }

  private static int sizeOf(MessageWriter message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      message.writeTo(packer);
      return (int) packer.getTotalWrittenBytes() + DATAGRAM_HEADERS;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private interface MessageWriter {
    void writeTo(MessageBufferPacker packer) throws IOException;
  }
}
