package org.mimosacleat.core.lists;

import static org.mimosacleat.core.settings.Setting.optional;
import static org.mimosacleat.core.settings.Setting.required;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.PlanName;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.settings.DecimalType;
import org.mimosacleat.core.settings.Secret;
import org.mimosacleat.core.settings.SecretPatternType;
import org.mimosacleat.core.settings.SectionForm;
import org.mimosacleat.core.settings.SectionSchema;
import org.mimosacleat.core.settings.Setting;
import org.mimosacleat.core.settings.Settings;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.core.settings.SettingsReader;
import org.mimosacleat.core.settings.SettingsSchema;
import org.mimosacleat.core.settings.SettingsSection;
import org.mimosacleat.core.settings.TextType;

/** Parses the list of plans from INI text with one section {@code [customer NAME]} per customer. */
public final class PlansText {
  /** The first word of the header of a customer's section. */
  public static final String SECTION = "customer";

  /** The key of a customer's plan. */
  public static final String PLAN_KEY = "plan";

  /** The key of a customer's own guaranteed share. */
  public static final String SHARE_KEY = "guaranteed-share";

  private static final String VERIFIER_PATTERN =
      "SCRAM-SHA-256\\$\\d{4,7}:[A-Za-z0-9+/=]{8,88}\\$[A-Za-z0-9+/]{43}=:[A-Za-z0-9+/]{43}=";

  private static final Setting<String> PLAN =
      required(PLAN_KEY, new TextType(), "The customer's plan, from the list of allowances.");
  private static final Setting<Optional<Double>> GUARANTEED_SHARE =
      optional(
          SHARE_KEY,
          new DecimalType(0, 100, "percent"),
          "Guaranteed share that overrides the share of the plan.");
  private static final Setting<Optional<Secret>> VERIFIER =
      optional(
          "scram-verifier",
          new SecretPatternType(
              VERIFIER_PATTERN, "SCRAM-SHA-256$ROUNDS:SALT$STORED-KEY:SERVER-KEY"),
          "SCRAM-SHA-256 verifier of the customer's password.");

  /** The sections and keys of the list. */
  public static final SettingsSchema SCHEMA =
      new SettingsSchema(
          List.of(
              new SectionSchema(
                  SECTION,
                  SectionForm.NAMED,
                  "Plan and password verifier of one customer.",
                  List.of(PLAN, GUARANTEED_SHARE, VERIFIER))));

  private PlansText() {}

  /** Parses the list; returns all problems found if the text is invalid. */
  public static Either<List<SettingsProblem>, PlansList> parse(String text) {
    return new SettingsReader(SCHEMA).read(text).map(PlansText::toPlansList);
  }

  private static PlansList toPlansList(Settings settings) {
    Map<TeamId, CustomerPlan> customers =
        settings.sections(SECTION).stream()
            .map(PlansText::toCustomerPlan)
            .collect(Collectors.toMap(CustomerPlan::customer, Function.identity()));
    return new PlansList(customers);
  }

  private static CustomerPlan toCustomerPlan(SettingsSection section) {
    return new CustomerPlan(
        new TeamId(section.name()),
        new PlanName(section.get(PLAN)),
        section.get(GUARANTEED_SHARE),
        section.get(VERIFIER));
  }
}
