package org.mimosacleat.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the files that an operator names. */
final class TextFile {
  private TextFile() {}

  static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException unreadable) {
      throw new CommandException(
          ExitCode.USAGE, "the file " + file + " cannot be read: " + unreadable.getMessage());
    }
  }
}
