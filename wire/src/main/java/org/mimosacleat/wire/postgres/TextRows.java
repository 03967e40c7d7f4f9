package org.mimosacleat.wire.postgres;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Decodes data rows in text format. */
public final class TextRows {
  private TextRows() {}

  /** Returns the values of a data row in order; a null element stands for SQL NULL. */
  public static List<String> values(Frame dataRow) throws FrameException {
    if (!dataRow.hasType(BackendType.DATA_ROW)) {
      throw new FrameException("expected a data row, but got frame " + (char) dataRow.type());
    }
    BodyReader body = new BodyReader(dataRow);
    int count = body.readShort();
    List<String> values = new ArrayList<>(Math.max(0, count));
    for (int column = 0; column < count; column++) {
      int length = body.readInt();
      values.add(length < 0 ? null : new String(body.readBytes(length), StandardCharsets.UTF_8));
    }
    return Collections.unmodifiableList(values);
  }
}
