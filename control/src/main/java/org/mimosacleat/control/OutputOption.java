package org.mimosacleat.control;

import picocli.CommandLine.Option;

/** The option that chooses between text and JSON. */
final class OutputOption {
  @Option(
      names = "--output",
      defaultValue = "TEXT",
      description = "Form of the output: ${COMPLETION-CANDIDATES}.")
  private OutputFormat format;

  boolean isJson() {
    return format == OutputFormat.JSON;
  }
}
