package org.mimosacleat.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the files that are named on the command line. */
final class TextFile {
  private TextFile() {}

  static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException unreadable) {
      throw new CommandException(
          ExitCode.USAGE, "cannot read the file " + file + ": " + unreadable.getMessage());
    }
  }
}
