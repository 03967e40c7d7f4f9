package org.mimosacleat.wire.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Helper methods for the codecs of fleet messages. */
public final class MessagePackUtil {
  private MessagePackUtil() {}

  /** Writes one value. */
  @FunctionalInterface
  public interface Writer<T> {
    /** Writes the value. */
    void write(MessagePacker packer, T value) throws IOException;
  }

  /** Reads one value. */
  @FunctionalInterface
  public interface Reader<T> {
    /** Reads the value. */
    T read(MessageUnpacker unpacker) throws IOException;
  }

  /** Encodes one message. */
  public static <T> byte[] encode(T message, Writer<T> writer) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      writer.write(packer, message);
      return packer.toByteArray();
    }
  }

  /** Decodes one message; any error in the bytes is reported as a {@link PeerProtocolException}. */
  public static <T> T decode(byte[] bytes, String name, Reader<T> reader)
      throws PeerProtocolException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      T message = reader.read(unpacker);
      if (unpacker.hasNext()) {
        throw new PeerProtocolException(name + ": unexpected bytes after the end of the message");
      }
      return message;
    } catch (PeerProtocolException malformed) {
      throw malformed;
    } catch (IOException | RuntimeException malformed) {
      throw new PeerProtocolException(name + ": " + malformed.getMessage());
    }
  }

  /** Writes a list of values. */
  public static <T> void writeList(MessagePacker packer, Collection<T> values, Writer<T> writer)
      throws IOException {
    packer.packArrayHeader(values.size());
    for (T value : values) {
      writer.write(packer, value);
    }
  }

  /** Reads a list of values. */
  public static <T> List<T> readList(MessageUnpacker unpacker, Reader<T> reader)
      throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<T> values = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      values.add(reader.read(unpacker));
    }
    return values;
  }

  /** Writes a list of strings. */
  public static void writeStrings(MessagePacker packer, Collection<String> strings)
      throws IOException {
    writeList(packer, strings, MessagePacker::packString);
  }

  /** Reads a list of strings. */
  public static List<String> readStrings(MessageUnpacker unpacker) throws IOException {
    return readList(unpacker, MessageUnpacker::unpackString);
  }
}
