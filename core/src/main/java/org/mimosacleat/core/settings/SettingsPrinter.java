package org.mimosacleat.core.settings;

/**
 * Prints a schema as INI text with every default and a comment for each key, for the subcommand
 * {@code print-defaults}. Required keys and named sections are commented out.
 */
public final class SettingsPrinter {
  private SettingsPrinter() {}

  /** Returns the INI text of the schema. */
  public static String print(SettingsSchema schema) {
    StringBuilder text = new StringBuilder();
    for (SectionSchema section : schema.sections()) {
      print(section, text);
    }
    return text.toString();
  }

  private static void print(SectionSchema section, StringBuilder text) {
    boolean named = section.form() == SectionForm.NAMED;
    String prefix = named ? "# " : "";
    text.append("# ").append(section.description()).append('\n');
    text.append(prefix).append('[').append(section.headerForm()).append("]\n");
    for (Setting<?> setting : section.settings()) {
      text.append("# ").append(setting.description());
      text.append(" Allowed: ").append(setting.type().allowed()).append(".\n");
      boolean hasDefault = setting.defaultText().isPresent();
      text.append(named || !hasDefault ? "# " : "");
      text.append(setting.key()).append(" = ").append(setting.defaultText().orElse(""));
      text.append(hasDefault ? "\n" : "(must be given)\n");
    }
    text.append('\n');
  }
}
