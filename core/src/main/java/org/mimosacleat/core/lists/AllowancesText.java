package org.mimosacleat.core.lists;

import static org.mimosacleat.core.settings.Setting.required;
import static org.mimosacleat.core.settings.Setting.withDefault;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.PlanName;
import org.mimosacleat.core.settings.DecimalType;
import org.mimosacleat.core.settings.DurationType;
import org.mimosacleat.core.settings.SectionForm;
import org.mimosacleat.core.settings.SectionSchema;
import org.mimosacleat.core.settings.Setting;
import org.mimosacleat.core.settings.Settings;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.core.settings.SettingsReader;
import org.mimosacleat.core.settings.SettingsSchema;
import org.mimosacleat.core.settings.SettingsSection;
import org.mimosacleat.core.settings.WholeNumberType;

/** Reads the list of allowances from INI text: one section {@code [plan NAME]} each. */
public final class AllowancesText {
  /** The first word of a plan's section. */
  public static final String SECTION = "plan";

  /** The key of the guaranteed share. */
  public static final String SHARE_KEY = "guaranteed-share";

  private static final Setting<Long> CONNECTIONS =
      required(
          "connections",
          new WholeNumberType(1, 1_000_000, "connections"),
          "Endpoint connections in use at once.");
  private static final Setting<Long> CONCURRENT =
      required(
          "concurrent-statements",
          new WholeNumberType(1, 1_000_000, "statements"),
          "Statements that run or wait at once.");
  private static final Setting<Long> RATE =
      required(
          "statements-per-second",
          new WholeNumberType(1, 10_000_000, "statements per second"),
          "Statements that start in a second.");
  private static final Setting<Double> SHARE =
      required(
          SHARE_KEY,
          new DecimalType(0, 100, "percent"),
          "Share of each endpoint's slots when all customers ask.");
  private static final Setting<Double> VM_SHARE =
      withDefault(
          "vm-share",
          new DecimalType(0, 100, "percent"),
          "100",
          "Share of the VMs' processor time.");
  private static final Setting<Long> PRIORITY =
      withDefault(
          "priority",
          new WholeNumberType(1, 9, "9 is refused last"),
          "5",
          "Which work is refused first when load is shed.");
  private static final Setting<Duration> DEADLINE =
      withDefault(
          "request-deadline",
          new DurationType(Duration.ofMillis(10), Duration.ofHours(1)),
          "10s",
          "Longest time of a request, waiting included.");

  /** The sections and keys of the list. */
  public static final SettingsSchema SCHEMA =
      new SettingsSchema(
          List.of(
              new SectionSchema(
                  SECTION,
                  SectionForm.NAMED,
                  "One plan.",
                  List.of(CONNECTIONS, CONCURRENT, RATE, SHARE, VM_SHARE, PRIORITY, DEADLINE))));

  private AllowancesText() {}

  /** Reads the list, or returns all problems of the text. */
  public static Either<List<SettingsProblem>, AllowancesList> parse(String text) {
    return new SettingsReader(SCHEMA).read(text).map(AllowancesText::list);
  }

  private static AllowancesList list(Settings settings) {
    Map<PlanName, PlanAllowance> plans =
        settings.sections(SECTION).stream()
            .map(AllowancesText::plan)
            .collect(Collectors.toMap(PlanAllowance::plan, Function.identity()));
    return new AllowancesList(plans);
  }

  private static PlanAllowance plan(SettingsSection section) {
    return new PlanAllowance(
        new PlanName(section.name()),
        section.get(CONNECTIONS),
        section.get(CONCURRENT),
        section.get(RATE),
        section.get(SHARE),
        section.get(VM_SHARE),
        Math.toIntExact(section.get(PRIORITY)),
        section.get(DEADLINE));
  }
}
