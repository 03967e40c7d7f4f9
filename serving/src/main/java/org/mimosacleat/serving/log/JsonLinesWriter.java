package org.mimosacleat.serving.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * A tinylog writer that prints each entry as one line of JSON, without making its caller wait.
 * Choose it with {@code writer = json lines} in the properties; the context of the thread becomes
 * further fields.
 */
public final class JsonLinesWriter implements Writer {
  private static final int FIRST_PRINTABLE = 0x20;

  private final LineQueue queue = LineQueue.start(System.out);

  /** Takes the properties of the writer, of which it uses none. */
  public JsonLinesWriter(Map<String, String> properties) {}

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE,
        LogEntryValue.LEVEL,
        LogEntryValue.CLASS,
        LogEntryValue.CONTEXT,
        LogEntryValue.MESSAGE,
        LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) {
    StringBuilder line = new StringBuilder("{");
    field(line, "time", entry.getTimestamp().toInstant().toString());
    field(line, "level", entry.getLevel().name());
    field(line, "source", entry.getClassName());
    entry.getContext().forEach((name, value) -> field(line, name, value));
    field(line, "message", entry.getMessage());
    if (entry.getException() != null) {
      field(line, "exception", stackTrace(entry.getException()));
    }
    queue.offer(line.append('}').toString());
  }

  @Override
  public void flush() {
    queue.drain();
  }

  @Override
  public void close() {
    flush();
  }

  private static void field(StringBuilder line, String name, String value) {
    if (value == null) {
      return;
    }
    if (line.length() > 1) {
      line.append(',');
    }
    quote(line, name);
    line.append(':');
    quote(line, value);
  }

  private static void quote(StringBuilder line, String text) {
    line.append('"');
    for (int index = 0; index < text.length(); index++) {
      char character = text.charAt(index);
      switch (character) {
        case '"', '\\' -> line.append('\\').append(character);
        case '\n' -> line.append("\\n");
        default -> {
          if (character < FIRST_PRINTABLE) {
            line.append(String.format("\\u%04x", (int) character));
          } else {
            line.append(character);
          }
        }
      }
    }
    line.append('"');
  }

  private static String stackTrace(Throwable exception) {
    StringWriter text = new StringWriter();
    exception.printStackTrace(new PrintWriter(text));
    return text.toString();
  }
}
