package org.mimosacleat.lab.matrix;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.mimosacleat.lab.fuzz.LedgerWorld;

/** The steps of the matrix that concern the ledger of credits. */
public final class LedgerSteps {
  private static final int PERIOD_STEPS = 60;
  private static final int FAULT_STEPS = 150;

  private final LedgerWorld world = new LedgerWorld();

  /** Brings a debit to a moment, and applies the fault then. */
  @When("a debit {debit} when {fault}")
  public void debitWithFault(String moment, String fault) {
    switch (moment) {
      case "has not begun" -> {
        // The first row is not written yet.
      }
      case "is in force" -> world.run(PERIOD_STEPS / 2);
      case "has used up its period" -> world.run(PERIOD_STEPS);
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    world.fault(fault);
    world.run(FAULT_STEPS);
    world.heal();
  }

  /** Spends until the end and compares. */
  @Then("no more is spent until expiry than was granted")
  public void withinGrant() {
    world.runUntilExpiry();
    assertTrue(world.isWithinGrant(), "more was spent than granted");
    assertTrue(world.rows() > 1, "no debit followed the fault");
  }
}
