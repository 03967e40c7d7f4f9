package org.mimosacleat.core.settings;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniParser;

/**
 * Parses INI text and records the line number of each entry. A line that starts with {@code #} or
 * {@code ;} is a comment. Escapes and line continuations are not supported, and every entry must be
 * in a section.
 */
public final class IniReader {
  private IniReader() {}

  /** Parses {@code text}. Lines that cannot be parsed are reported as problems and skipped. */
  public static IniDocument parse(String text) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    List<SettingsProblem> problems = new ArrayList<>();
    while (true) {
      LineByLineReader reader = new LineByLineReader(lines);
      IniCollector collector = new IniCollector(reader);
      if (tryParse(reader, collector)) {
        return new IniDocument(collector.sections(), problems);
      }
      int badLine = reader.lineNumber();
      problems.add(syntaxProblem(badLine, lines.get(badLine - 1)));
      lines.set(badLine - 1, "");
    }
  }

  private static boolean tryParse(LineByLineReader reader, IniCollector collector) {
    try {
      newParser().parse(reader, collector);
      return true;
    } catch (InvalidFileFormatException badLine) {
      return false;
    } catch (IOException impossible) {
      throw new UncheckedIOException("reading from a string failed", impossible);
    }
  }

  private static IniParser newParser() {
    Config config = new Config();
    config.setEscape(false);
    config.setMultiOption(true);
    config.setMultiSection(true);
    config.setEmptyOption(false);
    config.setEmptySection(true);
    return IniParser.newInstance(config);
  }

  private static SettingsProblem syntaxProblem(int line, String text) {
    return new SettingsProblem(
        line, "", "", text.strip(), "a [section] or, inside a section, key = value");
  }
}
