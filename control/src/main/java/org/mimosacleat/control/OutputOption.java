package org.mimosacleat.control;

import picocli.CommandLine.Option;

/** The option that selects the output format. */
final class OutputOption {
  @Option(
      names = "--output",
      defaultValue = "TEXT",
      description = "Output format: ${COMPLETION-CANDIDATES}.")
  private OutputFormat format;

  boolean isJson() {
    return format == OutputFormat.JSON;
  }
}
