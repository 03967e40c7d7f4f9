package org.mimosacleat.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.mimosacleat.lab.measure.Summary;

/** Writes the results of a measurement run to a folder. */
public final class MeasureReport {
  private final List<Summary> summaries;
  private final int seeds;

  /**
   * Creates a report.
   *
   * @param summaries the results
   * @param seeds the number of seeds behind each result
   */
  public MeasureReport(List<Summary> summaries, int seeds) {
    this.summaries = List.copyOf(summaries);
    this.seeds = seeds;
  }

  /** Formats one result as a line of text. */
  public static String formatLine(Summary summary) {
    return String.format(
        Locale.ROOT,
        "%-9s %-18s %-44s %-34s %10.2f %-6s (%.2f to %.2f)%s",
        summary.deployment(),
        summary.experiment(),
        summary.median().measure(),
        summary.median().variant(),
        summary.median().value(),
        summary.median().unit(),
        summary.lowest(),
        summary.highest(),
        summary.median().goal().isEmpty() ? "" : "  goal: " + summary.median().goal());
  }

  /** Writes {@code measure.txt}, {@code measure.json} and one plot for each measure. */
  public void write(Path folder) throws IOException {
    Files.createDirectories(folder);
    Files.writeString(folder.resolve("measure.txt"), text());
    Files.writeString(folder.resolve("measure.json"), json());
    for (Map.Entry<String, List<Summary>> measure : byMeasure().entrySet()) {
      MeasurePlot.write(measure.getKey(), measure.getValue(), folder);
    }
  }

  private String text() {
    return "seeds 1 to "
        + seeds
        + "\n"
        + summaries.stream().map(MeasureReport::formatLine).collect(Collectors.joining("\n"))
        + "\n";
  }

  private String json() {
    return summaries.stream()
        .map(MeasureReport::json)
        .collect(Collectors.joining(",\n", "[\n", "\n]\n"));
  }

  private static String json(Summary summary) {
    return String.format(
        Locale.ROOT,
        "{\"deployment\": \"%s\", \"experiment\": \"%s\", \"measure\": \"%s\","
            + " \"variant\": \"%s\", \"unit\": \"%s\", \"value\": %.4f,"
            + " \"lowest\": %.4f, \"highest\": %.4f, \"goal\": \"%s\"}",
        summary.deployment(),
        summary.experiment(),
        escape(summary.median().measure()),
        escape(summary.median().variant()),
        escape(summary.median().unit()),
        summary.median().value(),
        summary.lowest(),
        summary.highest(),
        escape(summary.median().goal()));
  }

  private static String escape(String text) {
    return text.replace("\\", "\\\\").replace("\"", "\\\"");
  }

  private Map<String, List<Summary>> byMeasure() {
    return summaries.stream()
        .collect(
            Collectors.groupingBy(
                summary -> summary.experiment() + " - " + summary.median().measure(),
                LinkedHashMap::new,
                Collectors.toList()));
  }
}
