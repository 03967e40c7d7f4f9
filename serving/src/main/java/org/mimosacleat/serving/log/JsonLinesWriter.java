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
 * A tinylog writer that prints each entry as one line of JSON without blocking the logging thread.
 * It is selected with {@code writer = json lines} in the properties; the thread context is added as
 * further fields.
 */
public final class JsonLinesWriter implements Writer {
  private static final int FIRST_PRINTABLE = 0x20;

  private final LineQueue queue = LineQueue.start(System.out);

  /** Creates a writer; tinylog passes its properties, which are ignored. */
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
    appendField(line, "time", entry.getTimestamp().toInstant().toString());
    appendField(line, "level", entry.getLevel().name());
    appendField(line, "source", entry.getClassName());
    entry.getContext().forEach((name, value) -> appendField(line, name, value));
    appendField(line, "message", entry.getMessage());
    if (entry.getException() != null) {
      appendField(line, "exception", stackTrace(entry.getException()));
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

  private static void appendField(StringBuilder line, String name, String value) {
    if (value == null) {
      return;
    }
    if (line.length() > 1) {
      line.append(',');
    }
    appendQuoted(line, name);
    line.append(':');
    appendQuoted(line, value);
  }

  private static void appendQuoted(StringBuilder line, String text) {
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
