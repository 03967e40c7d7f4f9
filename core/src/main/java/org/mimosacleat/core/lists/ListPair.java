package org.mimosacleat.core.lists;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.PlanName;
import org.mimosacleat.core.settings.IniDocument;
import org.mimosacleat.core.settings.IniEntry;
import org.mimosacleat.core.settings.IniReader;
import org.mimosacleat.core.settings.IniSection;
import org.mimosacleat.core.settings.NearestName;
import org.mimosacleat.core.settings.SettingsProblem;

/**
 * Both lists, which must be consistent: the plan of each customer is in the list of allowances, and
 * the guaranteed shares of all customers add up to at most 100 percent.
 *
 * @param plans the plan of each customer
 * @param allowances the allowance of each plan
 */
public record ListPair(PlansList plans, AllowancesList allowances) {
  private static final double MAX_TOTAL_SHARE_PERCENT = 100;
  private static final double ROUNDING_TOLERANCE_PERCENT = 1e-6;

  /** Validates the components. */
  public ListPair {
    Checks.notNull("plans", plans);
    Checks.notNull("allowances", allowances);
  }

  /**
   * Parses an edited list and checks that it is consistent with the current text of the other list.
   *
   * @param edited the kind of the edited list
   * @param text the edited text
   * @param otherText the text of the other list
   * @return both lists, or all problems with line numbers of the edited text
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
        .flatMap(pair -> pair.checkConsistency(edited, text));
  }

  /**
   * Returns a customer's guaranteed share in percent; zero if it has none and its plan is unknown.
   */
  public double guaranteedShare(CustomerPlan customer) {
    return customer
        .guaranteedShare()
        .or(() -> allowances.of(customer.plan()).map(PlanAllowance::guaranteedShare))
        .orElse(0.0);
  }

  private Either<List<SettingsProblem>, ListPair> checkConsistency(ListKind edited, String text) {
    IniDocument document = IniReader.parse(text);
    List<SettingsProblem> problems = new ArrayList<>();
    for (CustomerPlan customer : plans.customers().values()) {
      if (allowances.of(customer.plan()).isEmpty()) {
        problems.add(missingPlanProblem(edited, customer, document));
      }
    }
    double total = plans.customers().values().stream().mapToDouble(this::guaranteedShare).sum();
    if (total > MAX_TOTAL_SHARE_PERCENT + ROUNDING_TOLERANCE_PERCENT) {
      problems.add(excessiveShareProblem(total));
    }
    return problems.isEmpty() ? Either.right(this) : Either.left(problems);
  }

  private SettingsProblem missingPlanProblem(
      ListKind edited, CustomerPlan customer, IniDocument document) {
    String plan = customer.plan().value();
    if (edited == ListKind.ALLOWANCES) {
      String allowed =
          "a section for this plan, because customer " + customer.customer() + " uses it";
      return new SettingsProblem(0, AllowancesText.SECTION + " " + plan, "", "missing", allowed);
    }
    String header = PlansText.SECTION + " " + customer.customer();
    int line = lineOf(document, header, PlansText.PLAN_KEY).orElse(0);
    List<String> known = allowances.plans().keySet().stream().map(PlanName::value).toList();
    String allowed = "a plan in the list of allowances: " + NearestName.hint(plan, known);
    return new SettingsProblem(line, header, PlansText.PLAN_KEY, plan, allowed);
  }

  private static SettingsProblem excessiveShareProblem(double total) {
    return new SettingsProblem(
        0,
        "",
        "sum of guaranteed-share over all customers",
        Double.toString(total),
        "at most 100 percent");
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
