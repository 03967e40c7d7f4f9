package org.mimosacleat.standin.endpoint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.FrameException;

/** Reads the parameters of a bind frame and converts them to text. */
final class ParameterDecoder {
  private static final int BINARY_FORMAT = 1;
  private static final int BOOL_OID = 16;
  private static final int INT2_OID = 21;
  private static final int INT4_OID = 23;
  private static final int INT8_OID = 20;

  private ParameterDecoder() {}

  static List<String> read(BodyReader body, List<Integer> types) throws FrameException {
    List<Integer> formats = readFormats(body);
    int count = body.readShort();
    List<String> values = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      int length = body.readInt();
      if (length < 0) {
        values.add(null);
        continue;
      }
      byte[] bytes = body.readBytes(length);
      int type = index < types.size() ? types.get(index) : 0;
      boolean binary = formatOf(formats, index) == BINARY_FORMAT;
      values.add(binary ? decode(bytes, type) : new String(bytes, StandardCharsets.UTF_8));
    }
    return values;
  }

  static List<Integer> readFormats(BodyReader body) throws FrameException {
    int count = body.readShort();
    List<Integer> formats = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      formats.add((int) body.readShort());
    }
    return formats;
  }

  private static int formatOf(List<Integer> formats, int index) {
    if (formats.isEmpty()) {
      return 0;
    }
    return formats.size() == 1 || index >= formats.size() ? formats.getFirst() : formats.get(index);
  }

  private static String decode(byte[] bytes, int type) throws FrameException {
    return switch (type) {
      case INT2_OID -> Short.toString(wrap(bytes, Short.BYTES).getShort());
      case INT4_OID -> Integer.toString(wrap(bytes, Integer.BYTES).getInt());
      case INT8_OID -> Long.toString(wrap(bytes, Long.BYTES).getLong());
      case BOOL_OID -> wrap(bytes, Byte.BYTES).get() == 0 ? "f" : "t";
      default -> new String(bytes, StandardCharsets.UTF_8);
    };
  }

  private static ByteBuffer wrap(byte[] bytes, int expected) throws FrameException {
    if (bytes.length != expected) {
      throw new FrameException(
          "binary parameter has "
              + bytes.length
              + " bytes, but its type has "
              + expected
              + " bytes");
    }
    return ByteBuffer.wrap(bytes);
  }
}
