package org.mimosacleat.core.settings;

import java.util.ArrayList;
import java.util.List;
import org.ini4j.spi.IniHandler;

/** Collects the events of the INI parser into sections and records their line numbers. */
final class IniCollector implements IniHandler {
  private final LineByLineReader reader;
  private final List<IniSection> sections = new ArrayList<>();
  private final List<IniEntry> entries = new ArrayList<>();
  private String header;
  private int headerLine;

  IniCollector(LineByLineReader reader) {
    this.reader = reader;
  }

  List<IniSection> sections() {
    return sections;
  }

  @Override
  public void startIni() {
    sections.clear();
  }

  @Override
  public void endIni() {
    // The parser has already called endSection for every section.
  }

  @Override
  public void startSection(String name) {
    header = name.strip();
    headerLine = reader.lineNumber();
    entries.clear();
  }

  @Override
  public void endSection() {
    sections.add(new IniSection(header, headerLine, entries));
  }

  @Override
  public void handleOption(String key, String value) {
    String text = value == null ? "" : value.strip();
    entries.add(new IniEntry(key.strip(), text, reader.lineNumber()));
  }

  @Override
  public void handleComment(String comment) {
    // Comments are ignored.
  }
}
