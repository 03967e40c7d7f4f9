package org.mimosacleat.lab.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.mimosacleat.lab.measure.Summary;

/** Plots one measure as a bar chart, grouped by deployment with a bar for each variant. */
final class MeasurePlot {
  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 500;

  private MeasurePlot() {}

  static void write(String title, List<Summary> summaries, Path folder) throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .yAxisTitle(summaries.getFirst().median().unit())
            .build();
    List<String> deployments = summaries.stream().map(Summary::deployment).distinct().toList();
    byVariant(summaries)
        .forEach(
            (variant, variantSummaries) ->
                chart.addSeries(variant, deployments, values(deployments, variantSummaries)));
    String fileName = title.replaceAll("[^A-Za-z0-9]+", "-");
    BitmapEncoder.saveBitmap(
        chart, folder.resolve(fileName).toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static Map<String, List<Summary>> byVariant(List<Summary> summaries) {
    return summaries.stream()
        .collect(
            Collectors.groupingBy(
                summary -> summary.median().variant(), LinkedHashMap::new, Collectors.toList()));
  }

  private static List<Double> values(List<String> deployments, List<Summary> variantSummaries) {
    return deployments.stream()
        .map(
            deployment ->
                variantSummaries.stream()
                    .filter(summary -> summary.deployment().equals(deployment))
                    .mapToDouble(summary -> summary.median().value())
                    .findFirst()
                    .orElse(0))
        .toList();
  }
}
