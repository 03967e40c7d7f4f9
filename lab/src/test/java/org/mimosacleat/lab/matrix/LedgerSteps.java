package org.mimosacleat.lab.matrix;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.mimosacleat.lab.fuzz.LedgerSimulation;

/** Step definitions for the credit ledger. */
public final class LedgerSteps {
  private static final int PERIOD_STEPS = 60;
  private static final int FAULT_STEPS = 150;

  private final LedgerSimulation simulation = new LedgerSimulation();

  /** Runs a debit to the given moment and then applies the fault. */
  @When("a debit {debit} when {fault}")
  public void debitWithFault(String moment, String fault) {
    switch (moment) {
      case "has not begun" -> {
        // The first row has not been written.
      }
      case "is in force" -> simulation.runSteps(PERIOD_STEPS / 2);
      case "has used up its period" -> simulation.runSteps(PERIOD_STEPS);
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    simulation.applyFault(fault);
    simulation.runSteps(FAULT_STEPS);
    simulation.heal();
  }

  /** Spends until the credits expire and checks the total. */
  @Then("the spending until expiry does not exceed the grant")
  public void withinGrant() {
    simulation.runUntilExpiry();
    assertTrue(simulation.isWithinGrant(), "the spending exceeds the grant");
    assertTrue(simulation.writtenRows() > 1, "no debit was written after the fault");
  }
}
