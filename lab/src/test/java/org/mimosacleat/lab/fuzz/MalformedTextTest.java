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

/**
 * Parsers of settings and lists report malformed text as problems with a location, never as an
 * exception.
 */
class MalformedTextTest {
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
  void malformedSettingsAreReported() {
    assertProblemsReported("settings", SETTINGS, ProxySettingsReader::read);
  }

  @Test
  void malformedPlansAreReported() {
    assertProblemsReported("plans", PLANS, PlansText::parse);
  }

  @Test
  void malformedAllowancesAreReported() {
    assertProblemsReported("allowances", ALLOWANCES, AllowancesText::parse);
  }

  private static <T> void assertProblemsReported(
      String name, String text, Function<String, Either<List<SettingsProblem>, T>> parser) {
    Random random = new Random(FuzzRunner.SEED);
    int refused = 0;
    for (int attempt = 0; attempt < TRIES; attempt++) {
      String corrupted = corrupt(text, random);
      Either<List<SettingsProblem>, T> read = parser.apply(corrupted);
      if (read.isLeft()) {
        refused++;
        assertFalse(read.getLeft().isEmpty(), corrupted);
        read.getLeft().forEach(problem -> assertNamesLocation(problem, corrupted));
      }
    }
    System.out.println(
        "malformed "
            + name
            + ": seed "
            + FuzzRunner.SEED
            + ", "
            + TRIES
            + " tries, "
            + refused
            + " refused");
    assertTrue(refused > 0);
  }

  private static void assertNamesLocation(SettingsProblem problem, String text) {
    boolean hasLocation =
        problem.line() > 0 || !problem.section().isEmpty() || !problem.key().isEmpty();
    assertTrue(hasLocation, problem + " names no location in\n" + text);
    assertFalse(problem.allowed().isEmpty(), problem + " does not say what is allowed");
  }

  private static String corrupt(String text, Random random) {
    StringBuilder corrupted = new StringBuilder(text);
    int changes = 1 + random.nextInt(4);
    for (int change = 0; change < changes && !corrupted.isEmpty(); change++) {
      int index = random.nextInt(corrupted.length());
      char replacement = JUNK.charAt(random.nextInt(JUNK.length()));
      switch (random.nextInt(4)) {
        case 0 -> corrupted.deleteCharAt(index);
        case 1 -> corrupted.insert(index, replacement);
        case 2 -> corrupted.setCharAt(index, replacement);
        default -> corrupted.setLength(index);
      }
    }
    return corrupted.toString();
  }
}
