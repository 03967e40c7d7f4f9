package org.mimosacleat.serving.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class LineQueueTest {
  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
  private final LineQueue queue =
      new LineQueue(new PrintStream(printed, true, StandardCharsets.UTF_8));

  @Test
  void printsLinesInOrder() {
    queue.offer("first");
    queue.offer("second");

    queue.drain();

    assertEquals(List.of("first", "second"), lines());
  }

  @Test
  void fullQueueDropsLinesAndReportsTheirNumber() {
    for (int line = 0; line < LineQueue.CAPACITY + 7; line++) {
      queue.offer("line " + line);
    }

    queue.drain();

    assertEquals(LineQueue.CAPACITY + 1, lines().size());
    assertTrue(lines().getLast().contains("log lines dropped: 7"));
  }

  private List<String> lines() {
    return printed.toString(StandardCharsets.UTF_8).lines().toList();
  }
}
