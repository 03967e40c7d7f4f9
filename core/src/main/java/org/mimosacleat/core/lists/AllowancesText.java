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

/** Parses the list of allowances from INI text with one section {@code [plan NAME]} per plan. */
public final class AllowancesText {
  /** The first word of the header of a plan's section. */
  public static final String SECTION = "plan";

  /** The key of the guaranteed share. */
  public static final String SHARE_KEY = "guaranteed-share";

  private static final Setting<Long> CONNECTIONS =
      required(
          "connections",
          new WholeNumberType(1, 1_000_000, "connections"),
          "Maximum number of endpoint connections in use at the same time.");
  private static final Setting<Long> CONCURRENT_STATEMENTS =
      required(
          "concurrent-statements",
          new WholeNumberType(1, 1_000_000, "statements"),
          "Maximum number of statements that run or wait at the same time.");
  private static final Setting<Long> STATEMENTS_PER_SECOND =
      required(
          "statements-per-second",
          new WholeNumberType(1, 10_000_000, "statements per second"),
          "Maximum number of statements started per second.");
  private static final Setting<Double> GUARANTEED_SHARE =
      required(
          SHARE_KEY,
          new DecimalType(0, 100, "percent"),
          "Guaranteed share of each endpoint's slots when all customers have requests.");
  private static final Setting<Double> VM_SHARE =
      withDefault(
          "vm-share",
          new DecimalType(0, 100, "percent"),
          "100",
          "Maximum share of the VMs' processor time.");
  private static final Setting<Long> PRIORITY =
      withDefault(
          "priority",
          new WholeNumberType(1, 9, "9 is rejected last"),
          "5",
          "Under overload, requests with a lower priority are rejected first.");
  private static final Setting<Duration> DEADLINE =
      withDefault(
          "request-deadline",
          new DurationType(Duration.ofMillis(10), Duration.ofHours(1)),
          "10s",
          "Maximum duration of a request, including the time it waits.");

  /** The sections and keys of the list. */
  public static final SettingsSchema SCHEMA =
      new SettingsSchema(
          List.of(
              new SectionSchema(
                  SECTION,
                  SectionForm.NAMED,
                  "Allowance of one plan.",
                  List.of(
                      CONNECTIONS,
                      CONCURRENT_STATEMENTS,
                      STATEMENTS_PER_SECOND,
                      GUARANTEED_SHARE,
                      VM_SHARE,
                      PRIORITY,
                      DEADLINE))));

  private AllowancesText() {}

  /** Parses the list; returns all problems found if the text is invalid. */
  public static Either<List<SettingsProblem>, AllowancesList> parse(String text) {
    return new SettingsReader(SCHEMA).read(text).map(AllowancesText::toAllowancesList);
  }

  private static AllowancesList toAllowancesList(Settings settings) {
    Map<PlanName, PlanAllowance> plans =
        settings.sections(SECTION).stream()
            .map(AllowancesText::toPlanAllowance)
            .collect(Collectors.toMap(PlanAllowance::plan, Function.identity()));
    return new AllowancesList(plans);
  }

  private static PlanAllowance toPlanAllowance(SettingsSection section) {
    return new PlanAllowance(
        new PlanName(section.name()),
        section.get(CONNECTIONS),
        section.get(CONCURRENT_STATEMENTS),
        section.get(STATEMENTS_PER_SECOND),
        section.get(GUARANTEED_SHARE),
        section.get(VM_SHARE),
        Math.toIntExact(section.get(PRIORITY)),
        section.get(DEADLINE));
  }
}
