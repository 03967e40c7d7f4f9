package org.mimosacleat.lab.matrix;

import io.cucumber.plugin.ConcurrentEventListener;
import io.cucumber.plugin.event.EventPublisher;
import io.cucumber.plugin.event.Status;
import io.cucumber.plugin.event.TestCase;
import io.cucumber.plugin.event.TestCaseFinished;
import io.cucumber.plugin.event.TestRunFinished;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes a report with a line for each cell of the fault matrix, and prints the totals by result.
 */
public final class MatrixReport implements ConcurrentEventListener {
  private static final Path REPORT = Path.of("target", "matrix-report.txt");
  private static final String NOT_APPLICABLE = "@not-applicable";

  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Integer> totals = new TreeMap<>();

  @Override
  public void setEventPublisher(EventPublisher publisher) {
    publisher.registerHandlerFor(TestCaseFinished.class, this::recordCell);
    publisher.registerHandlerFor(TestRunFinished.class, this::writeReport);
  }

  private synchronized void recordCell(TestCaseFinished event) {
    String result = result(event);
    totals.merge(result, 1, Integer::sum);
    String path = event.getTestCase().getUri().toString();
    String feature = path.substring(path.lastIndexOf('/') + 1).replace(".feature", "");
    lines.add(result + " | " + feature + " | " + event.getTestCase().getName());
  }

  private static String result(TestCaseFinished event) {
    TestCase cell = event.getTestCase();
    if (event.getResult().getStatus() != Status.PASSED) {
      return "failed";
    }
    return cell.getTags().contains(NOT_APPLICABLE) ? "not applicable" : "passed";
  }

  private void writeReport(TestRunFinished event) {
    List<String> sorted = new ArrayList<>(lines);
    Collections.sort(sorted);
    sorted.add("totals: " + totals);
    try {
      Files.createDirectories(REPORT.getParent());
      Files.write(REPORT, sorted);
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
    System.out.println("fault matrix: " + totals + ", report in lab/" + REPORT);
  }
}
