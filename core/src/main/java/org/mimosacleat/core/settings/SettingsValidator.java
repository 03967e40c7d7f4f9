package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Validates the sections of one text, collecting values and problems. */
final class SettingsValidator {
  private static final String HIDDEN = "(hidden)";

  private final SettingsSchema schema;
  private final List<SettingsProblem> problems;
  private final List<SettingsSection> sections = new ArrayList<>();
  private final Set<String> headers = new HashSet<>();

  SettingsValidator(SettingsSchema schema, List<SettingsProblem> parseProblems) {
    this.schema = schema;
    this.problems = new ArrayList<>(parseProblems);
  }

  void validate(IniSection section) {
    String[] words = section.header().split("\\s+", 2);
    String name = words.length > 1 ? words[1].strip() : "";
    Optional<SectionSchema> known = schema.section(words[0]);
    if (known.isEmpty()) {
      addSectionProblem(section, NearestName.hint(words[0], schema.headerForms()));
      return;
    }
    SectionSchema sectionSchema = known.get();
    if (name.isEmpty() == (sectionSchema.form() == SectionForm.NAMED)) {
      addSectionProblem(section, "[" + sectionSchema.headerForm() + "]");
      return;
    }
    if (!headers.add(sectionSchema.kind() + ' ' + name)) {
      addSectionProblem(section, "one section with this header");
      return;
    }
    sections.add(validatedSection(section, sectionSchema, name));
  }

  Either<List<SettingsProblem>, Settings> finish() {
    for (SectionSchema sectionSchema : schema.sections()) {
      boolean single = sectionSchema.form() == SectionForm.SINGLE;
      if (single && !headers.contains(sectionSchema.kind() + ' ')) {
        sections.add(defaultSection(sectionSchema));
      }
    }
    if (problems.isEmpty()) {
      return Either.right(new Settings(sections));
    }
    problems.sort(Comparator.comparingInt(SettingsProblem::line));
    return Either.left(List.copyOf(problems));
  }

  private void addSectionProblem(IniSection section, String allowed) {
    problems.add(new SettingsProblem(section.line(), section.header(), "", "", allowed));
  }

  private SettingsSection validatedSection(
      IniSection section, SectionSchema sectionSchema, String name) {
    Map<String, String> texts = new HashMap<>();
    for (IniEntry entry : section.entries()) {
      validateEntry(section, sectionSchema, entry, texts);
    }
    fillDefaults(sectionSchema, section.header(), section.line(), texts);
    return new SettingsSection(sectionSchema.kind(), name, section.line(), texts);
  }

  private SettingsSection defaultSection(SectionSchema sectionSchema) {
    Map<String, String> texts = new HashMap<>();
    fillDefaults(sectionSchema, sectionSchema.kind(), 0, texts);
    return new SettingsSection(sectionSchema.kind(), "", 0, texts);
  }

  private void validateEntry(
      IniSection section, SectionSchema sectionSchema, IniEntry entry, Map<String, String> texts) {
    Optional<Setting<?>> setting = sectionSchema.setting(entry.key());
    if (setting.isEmpty()) {
      // The misspelt key may be that of a secret, so its value is hidden.
      String hint = "a known key: " + NearestName.hint(entry.key(), sectionSchema.keys());
      problems.add(problem(section, entry, HIDDEN, hint));
      return;
    }
    ValueType<?> type = setting.get().type();
    String displayedValue = type.isSecret() ? HIDDEN : entry.value();
    if (texts.put(entry.key(), entry.value()) != null) {
      problems.add(problem(section, entry, displayedValue, "one entry for this key"));
    }
    Either<String, ?> value = type.parse(entry.value());
    if (value.isLeft()) {
      problems.add(problem(section, entry, displayedValue, value.getLeft()));
    }
  }

  private void fillDefaults(
      SectionSchema sectionSchema, String header, int line, Map<String, String> texts) {
    for (Setting<?> setting : sectionSchema.settings()) {
      if (texts.containsKey(setting.key())) {
        continue;
      }
      if (setting.defaultText().isPresent()) {
        texts.put(setting.key(), setting.defaultText().get());
        continue;
      }
      String allowed = setting.type().allowed() + ", and the key is required";
      problems.add(new SettingsProblem(line, header, setting.key(), "", allowed));
    }
  }

  private static SettingsProblem problem(
      IniSection section, IniEntry entry, String displayedValue, String allowed) {
    return new SettingsProblem(
        entry.line(), section.header(), entry.key(), displayedValue, allowed);
  }
}
