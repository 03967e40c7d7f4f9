package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.lists.AllowancesText;
import org.mimosacleat.core.lists.PlansText;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.proxy.settings.ProxySettingsReader;

/** A broken text of settings or of a list gets problems that name a place, never an exception. */
class BadTextTest {
  private static final int TRIES = 3_000;
  private static final String JUNK = "[]=;#\"\\ \t\n%-0123456789zé\u0000";
  private static final String SETTINGS =
      """
      [node]
      id = vm-1
      zone = tamaki
      address = 127.0.0.1:7001
      [fleet]
      key = a key of sixteen characters
      [platform]
      table-endpoint = http://127.0.0.1:1
      object-endpoint = http://127.0.0.1:1
      region = local
      access-key = local
      secret-key = local
      """;
  private static final String PLANS =
      """
      [customer bookings]
      plan = gold
      [customer map]
      plan = silver
      """;
  private static final String ALLOWANCES =
      """
      [plan gold]
      guaranteed-share = 40
      [plan silver]
      guaranteed-share = 10
      """;

  @Test
  void brokenSettingsGetProblems() {
    check("settings", SETTINGS, ProxySettingsReader::read);
  }

  @Test
  void brokenPlansGetProblems() {
    check("plans", PLANS, PlansText::parse);
  }

  @Test
  void brokenAllowancesGetProblems() {
    check("allowances", ALLOWANCES, AllowancesText::parse);
  }

  private static <T> void check(
      String name, String text, Function<String, Either<List<SettingsProblem>, T>> reader) {
    Random random = new Random(Fuzz.SEED);
    int refused = 0;
    for (int attempt = 0; attempt < TRIES; attempt++) {
      String broken = broken(text, random);
      Either<List<SettingsProblem>, T> read = reader.apply(broken);
      if (read.isLeft()) {
        refused++;
        assertFalse(read.getLeft().isEmpty(), broken);
        read.getLeft().forEach(problem -> assertNames(problem, broken));
      }
    }
    System.out.println(
        "broken "
            + name
            + ": seed "
            + Fuzz.SEED
            + ", "
            + TRIES
            + " tries, "
            + refused
            + " refused");
    assertTrue(refused > 0);
  }

  private static void assertNames(SettingsProblem problem, String text) {
    boolean hasPlace =
        problem.line() > 0 || !problem.section().isEmpty() || !problem.key().isEmpty();
    assertTrue(hasPlace, problem + " names no place in\n" + text);
    assertFalse(problem.allowed().isEmpty(), problem + " says not what is allowed");
  }

  private static String broken(String text, Random random) {
    StringBuilder broken = new StringBuilder(text);
    int changes = 1 + random.nextInt(4);
    for (int change = 0; change < changes && !broken.isEmpty(); change++) {
      int at = random.nextInt(broken.length());
      char junk = JUNK.charAt(random.nextInt(JUNK.length()));
      switch (random.nextInt(4)) {
        case 0 -> broken.deleteCharAt(at);
        case 1 -> broken.insert(at, junk);
        case 2 -> broken.setCharAt(at, junk);
        default -> broken.setLength(at);
      }
    }
    return broken.toString();
  }
}
