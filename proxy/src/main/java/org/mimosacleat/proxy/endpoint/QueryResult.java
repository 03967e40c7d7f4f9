package org.mimosacleat.proxy.endpoint;

import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameReader;

/**
 * The rows returned by a statement that the proxy itself issued.
 *
 * @param rows the values in text format; SQL NULL is represented by the empty string
 */
public record QueryResult(List<List<String>> rows) {
  /** Copies the rows. */
  public QueryResult {
    rows = List.copyOf(rows);
  }

  /** Returns the value of a column in the first row. */
  public String firstRowValue(int column) throws IOException {
    if (rows.isEmpty() || rows.getFirst().size() <= column) {
      throw new IOException("endpoint: the reply has no row or no column " + column);
    }
    return rows.getFirst().get(column);
  }

  /** Parses the rows of a reply. */
  public static QueryResult of(EndpointReply reply) throws IOException {
    FrameReader frames =
        new FrameReader(new ByteArrayInputStream(reply.frames()), reply.frames().length + 1);
    List<List<String>> rows = new ArrayList<>();
    while (true) {
      Frame frame = next(frames);
      if (frame.hasType(BackendType.ERROR)) {
        throw new StatementFailedException(reply.sqlState(), ErrorText.of(frame));
      }
      if (frame.hasType(BackendType.DATA_ROW)) {
        rows.add(row(new BodyReader(frame)));
      }
      if (frame.hasType(BackendType.READY_FOR_QUERY)) {
        return new QueryResult(rows);
      }
    }
  }

  private static Frame next(FrameReader frames) throws IOException {
    try {
      return frames.read();
    } catch (EOFException incomplete) {
      throw new IOException("endpoint: the reply ends before ready-for-query", incomplete);
    }
  }

  private static List<String> row(BodyReader body) throws IOException {
    int columns = body.readShort();
    List<String> values = new ArrayList<>(columns);
    for (int column = 0; column < columns; column++) {
      int length = body.readInt();
      values.add(length < 0 ? "" : new String(body.readBytes(length), StandardCharsets.UTF_8));
    }
    return values;
  }
}
