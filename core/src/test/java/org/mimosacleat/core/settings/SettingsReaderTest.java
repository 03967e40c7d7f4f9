package org.mimosacleat.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
  private static final Setting<Long> PORT =
      Setting.withDefault("port", new WholeNumberType(1, 65_535, "TCP port"), "5432", "Port.");
  private static final Setting<Duration> DEADLINE =
      Setting.withDefault(
          "deadline",
          new DurationType(Duration.ofMillis(1), Duration.ofMinutes(1)),
          "250ms",
          "Deadline.");
  private static final Setting<Secret> KEY = Setting.required("key", new SecretType(8), "Key.");
  private static final Setting<List<String>> ZONES =
      Setting.required("zones", new ListType<>(new TextType()), "Zones.");
  private static final SettingsSchema SCHEMA =
      new SettingsSchema(
          List.of(
              new SectionSchema(
                  "listen", SectionForm.SINGLE, "Listener.", List.of(PORT, DEADLINE, KEY)),
              new SectionSchema("group", SectionForm.NAMED, "Group.", List.of(ZONES))));

  private final SettingsReader reader = new SettingsReader(SCHEMA);

  @Test
  void readsTypedValuesWithDefaultsAndNamedSections() {
    Settings settings =
        reader
            .read("[listen]\nkey = correct = horse\n[group a]\nzones = x, y\n[group b]\nzones=z\n")
            .get();

    assertEquals(5432, settings.get("listen", PORT));
    assertEquals(Duration.ofMillis(250), settings.get("listen", DEADLINE));
    assertEquals("correct = horse", settings.get("listen", KEY).value());
    assertEquals(List.of("x", "y"), settings.sections("group").get(0).get(ZONES));
    assertEquals("b", settings.sections("group").get(1).name());
  }

  @Test
  void reportsEveryProblemWithLineNumber() {
    String text =
        """
        # a comment

        [listen]
        port = 70000
        deadlin = 3s
        not an entry
        key = longenough
        [grop a]
        zones = x
        [group]
        [group a]
        """;

    List<SettingsProblem> problems = reader.read(text).getLeft();

    assertEquals(
        List.of(4, 5, 6, 8, 10, 11), problems.stream().map(SettingsProblem::line).toList());
    assertEquals(
        "line 4: [listen] port = '70000': expected a whole number from 1 to 65535 (TCP port)",
        problems.get(0).message());
    assertTrue(problems.get(1).allowed().contains("did you mean 'deadline'"));
    assertTrue(problems.get(3).allowed().contains("did you mean 'group NAME'"));
  }

  @Test
  void secretsAreHiddenInMessagesAndToString() {
    List<SettingsProblem> problems = reader.read("[listen]\nkey = hunter2\n").getLeft();
    List<SettingsProblem> misspelt = reader.read("[listen]\nkye = hunter22\n").getLeft();

    assertFalse(problems.getFirst().message().contains("hunter2"));
    assertFalse(misspelt.toString().contains("hunter22"));
    assertFalse(new Secret("hunter22").toString().contains("hunter22"));
  }

  @Test
  void rejectsDuplicateKeysAndSections() {
    String text = "[listen]\nkey = longenough\nport = 1\nport = 2\n[listen]\nport = 3\n";

    List<SettingsProblem> problems = reader.read(text).getLeft();

    assertEquals(List.of(4, 5), problems.stream().map(SettingsProblem::line).toList());
  }

  @Test
  void printedDefaultsCanBeRead() {
    String printed =
        SettingsPrinter.print(SCHEMA).replace("# key = (must be given)", "key = 12345678");

    Settings settings = reader.read(printed).get();

    assertEquals(5432, settings.get("listen", PORT));
  }
}
