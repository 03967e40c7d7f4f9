package org.mimosacleat.standin.endpoint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyBuilder;
import org.mimosacleat.wire.postgres.Frame;

/** Builds the row description and data row frames of results. */
final class ResultFrames {
  private static final int TEXT_FORMAT = 0;
  private static final int BINARY_FORMAT = 1;
  private static final int NULL_LENGTH = -1;
  private static final int NO_TYPE_MODIFIER = -1;

  private ResultFrames() {}

  static Frame rowDescription(List<Column> columns, List<Integer> formats) {
    BodyBuilder body = new BodyBuilder().int16(columns.size());
    for (int index = 0; index < columns.size(); index++) {
      Column column = columns.get(index);
      body.string(column.name())
          .int32(0)
          .int16(0)
          .int32(column.type().oid())
          .int16(column.type().size())
          .int32(NO_TYPE_MODIFIER)
          .int16(format(column, formats, index));
    }
    return body.frame(BackendType.ROW_DESCRIPTION);
  }

  static Frame dataRow(List<Column> columns, List<String> values, List<Integer> formats) {
    BodyBuilder body = new BodyBuilder().int16(values.size());
    for (int index = 0; index < values.size(); index++) {
      if (values.get(index) == null) {
        body.int32(NULL_LENGTH);
        continue;
      }
      byte[] bytes = encode(columns.get(index), values.get(index), formats, index);
      body.int32(bytes.length).bytes(bytes);
    }
    return body.frame(BackendType.DATA_ROW);
  }

  private static byte[] encode(Column column, String value, List<Integer> formats, int index) {
    if (format(column, formats, index) == BINARY_FORMAT) {
      return ByteBuffer.allocate(Long.BYTES).putLong(Long.parseLong(value.trim())).array();
    }
    return value.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns the format of a column. Text has the same bytes in both formats, so only integers are
   * sent in binary.
   */
  private static int format(Column column, List<Integer> formats, int index) {
    if (formats.isEmpty() || column.type() != ColumnType.INTEGER) {
      return TEXT_FORMAT;
    }
    return formats.size() == 1 ? formats.getFirst() : formats.get(index);
  }
}
