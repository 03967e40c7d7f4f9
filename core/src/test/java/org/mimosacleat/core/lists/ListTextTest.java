package org.mimosacleat.core.lists;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosacleat.core.settings.SettingsProblem;

class ListTextTest {
  private static final String ALLOWANCES =
      """
      [plan gold]
      connections = 20
      concurrent-statements = 12
      statements-per-second = 400
      guaranteed-share = 60
      """;
  private static final String PLANS =
      """
      # members first
      [customer bookings]
      plan = gold

      [customer advocates]
      plan = gold
      guaranteed-share = 10
      """;

  @Test
  void consistentListsAreAccepted() {
    ListPair pair = ListPair.check(ListKind.PLANS, PLANS, ALLOWANCES).get();

    assertEquals(2, pair.plans().customers().size());
  }

  @Test
  void unknownPlanIsReportedWithItsLineAndTheNearestName() {
    String text = PLANS + "[customer whare]\nplan = gopd\n";

    List<SettingsProblem> problems = ListPair.check(ListKind.PLANS, text, ALLOWANCES).getLeft();

    assertEquals(9, problems.getFirst().line());
    assertTrue(problems.getFirst().allowed().contains("did you mean 'gold'"));
  }

  @Test
  void planInUseCannotBeRemovedFromTheAllowances() {
    List<SettingsProblem> problems = ListPair.check(ListKind.ALLOWANCES, "", PLANS).getLeft();

    assertTrue(problems.getFirst().message().contains("plan gold"));
  }

  @Test
  void guaranteedSharesAbove100PercentAreRejected() {
    String text = PLANS.replace("guaranteed-share = 10", "guaranteed-share = 41");

    List<SettingsProblem> problems = ListPair.check(ListKind.PLANS, text, ALLOWANCES).getLeft();

    assertTrue(problems.getFirst().message().contains("101.0"));
  }

  @Test
  void editChangesOneLineAndKeepsComments() {
    String changed = ListEditor.set(PLANS, "customer advocates", "guaranteed-share", "20");
    String added = ListEditor.set(changed, "customer bookings", "guaranteed-share", "30");

    assertEquals(
        PLANS
            .replace("guaranteed-share = 10", "guaranteed-share = 20")
            .replaceFirst("plan = gold\n", "plan = gold\nguaranteed-share = 30\n"),
        added);
    assertFalse(ListEditor.removeSection(added, "customer bookings").contains("bookings"));
    assertEquals(PLANS, ListEditor.remove(PLANS, "customer bookings", "absent"));
  }

  @Test
  void differencesAreListedByKeyWithoutVerifiers() {
    String verifier = "scram-verifier = SCRAM-SHA-256$4096:c2FsdHNhbHQ=$x:y";
    String after = PLANS.replace("plan = gold\n\n", "plan = amber\n" + verifier + "\n\n");

    List<ListChange> changes = ListDiff.between(PLANS, after);

    assertEquals(
        new ListChange("customer bookings", "plan", Optional.of("gold"), Optional.of("amber")),
        changes.getFirst());
    assertFalse(changes.toString().contains("4096"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"kaitiaki", "cartago"})
  void exampleListsAreConsistent(String operator) throws IOException {
    Path folder = Path.of("..", "examples", operator);
    String plans = Files.readString(folder.resolve("plans.ini"));
    String allowances = Files.readString(folder.resolve("allowances.ini"));

    assertTrue(ListPair.check(ListKind.PLANS, plans, allowances).isRight());
  }
}
