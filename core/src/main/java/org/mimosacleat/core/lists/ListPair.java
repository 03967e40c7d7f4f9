package org.mimosacleat.core.lists;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.PlanName;
import org.mimosacleat.core.settings.IniDocument;
import org.mimosacleat.core.settings.IniEntry;
import org.mimosacleat.core.settings.IniSection;
import org.mimosacleat.core.settings.IniText;
import org.mimosacleat.core.settings.NearestName;
import org.mimosacleat.core.settings.SettingsProblem;

/**
 * Both lists together, which must fit each other: each customer's plan is in the list of
 * allowances, and the guaranteed shares of all customers add up to 100 percent at the most.
 *
 * @param plans which customer has which plan
 * @param allowances what each plan may use
 */
public record ListPair(PlansList plans, AllowancesList allowances) {
  private static final double WHOLE = 100;
  private static final double ROUNDING = 1e-6;

  /** Checks the parts. */
  public ListPair {
    Checks.notNull("plans", plans);
    Checks.notNull("allowances", allowances);
  }

  /**
   * Reads an edited list and checks it against the other list as it is.
   *
   * @param edited which list {@code text} is
   * @param text the edited text
   * @param otherText the text of the other list
   * @return both lists, or all problems, with the lines of the edited text
   */
  public static Either<List<SettingsProblem>, ListPair> check(
      ListKind edited, String text, String otherText) {
    String plansText = edited == ListKind.PLANS ? text : otherText;
    String allowancesText = edited == ListKind.PLANS ? otherText : text;
    return PlansText.parse(plansText)
        .flatMap(
            plans ->
                AllowancesText.parse(allowancesText)
                    .map(allowances -> new ListPair(plans, allowances)))
        .flatMap(pair -> pair.fitting(edited, text));
  }

  /** Returns a customer's guaranteed share in percent; zero if its plan is not listed. */
  public double guaranteedShare(CustomerPlan customer) {
    return customer
        .guaranteedShare()
        .or(() -> allowances.of(customer.plan()).map(PlanAllowance::guaranteedShare))
        .orElse(0.0);
  }

  private Either<List<SettingsProblem>, ListPair> fitting(ListKind edited, String text) {
    IniDocument document = IniText.parse(text);
    List<SettingsProblem> problems = new ArrayList<>();
    for (CustomerPlan customer : plans.customers().values()) {
      if (allowances.of(customer.plan()).isEmpty()) {
        problems.add(missingPlan(edited, customer, document));
      }
    }
    double total = plans.customers().values().stream().mapToDouble(this::guaranteedShare).sum();
    if (total > WHOLE + ROUNDING) {
      problems.add(tooMuch(total));
    }
    return problems.isEmpty() ? Either.right(this) : Either.left(problems);
  }

  private SettingsProblem missingPlan(
      ListKind edited, CustomerPlan customer, IniDocument document) {
    String plan = customer.plan().value();
    if (edited == ListKind.ALLOWANCES) {
      String allowed = "to keep the plan, since customer " + customer.customer() + " has it";
      return new SettingsProblem(0, AllowancesText.SECTION + " " + plan, "", "missing", allowed);
    }
    String header = PlansText.SECTION + " " + customer.customer();
    int line = lineOf(document, header, PlansText.PLAN_KEY).orElse(0);
    List<String> known = allowances.plans().keySet().stream().map(PlanName::value).toList();
    String allowed = "a plan of the list of allowances: " + NearestName.hint(plan, known);
    return new SettingsProblem(line, header, PlansText.PLAN_KEY, plan, allowed);
  }

  private static SettingsProblem tooMuch(double total) {
    return new SettingsProblem(
        0,
        "",
        "sum of guaranteed-share over all customers",
        Double.toString(total),
        "100 percent at the most");
  }

  private static Optional<Integer> lineOf(IniDocument document, String header, String key) {
    return document.sections().stream()
        .filter(section -> section.header().equals(header))
        .map(IniSection::entries)
        .flatMap(List::stream)
        .filter(entry -> entry.key().equals(key))
        .map(IniEntry::line)
        .findFirst();
  }
}
