package org.mimosacleat.lab.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.lab.fuzz.ListSimulation;

/** Step definitions for the operators' lists. */
public final class ListSteps {
  private static final int SETTLE_STEPS = 30;

  private final ListSimulation simulation = ListSimulation.withRealComponents();

  /** Runs an edit to the given moment and then applies the fault. */
  @When("a list change {edit} when {fault}")
  public void editWithFault(String moment, String fault) {
    simulation.runSteps(SETTLE_STEPS);
    simulation.edit(0, ListKind.PLANS);
    simulation.runSteps(SETTLE_STEPS);
    switch (moment) {
      case "is about to be written" -> {
        applyFault(fault);
        simulation.edit(0, ListKind.PLANS);
      }
      case "is written" -> {
        simulation.edit(0, ListKind.PLANS);
        applyFault(fault);
      }
      case "has reached one proxy" -> {
        simulation.edit(0, ListKind.PLANS);
        simulation.deliverOne(0);
        applyFault(fault);
      }
      case "is in force everywhere" -> {
        simulation.edit(0, ListKind.PLANS);
        simulation.runSteps(SETTLE_STEPS);
        applyFault(fault);
      }
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    simulation.runSteps(SETTLE_STEPS);
  }

  /** Runs ten seconds without faults and checks that all edits are in force. */
  @Then("every accepted list change is in force everywhere within ten seconds and none reverts")
  public void convergesWithoutReverting() {
    simulation.checkConvergence();
    assertEquals(List.of(), simulation.violations());
  }

  private void applyFault(String fault) {
    switch (fault) {
      case "the proxy that accepted it dies" -> simulation.replaceProxy(0);
      case "another proxy dies" -> simulation.replaceProxy(1);
      case "all proxies die" -> {
        for (int proxy = 0; proxy < ListSimulation.PROXIES; proxy++) {
          simulation.replaceProxy(proxy);
        }
      }
      case "the store is down" -> simulation.setStoreDown(true);
      case "the answers of the store are lost" -> simulation.setStoreAnswersLost(true);
      case "messages are lost" -> {
        for (int message = 0; message < 20; message++) {
          simulation.dropOne(0);
        }
      }
      case "messages are delayed" -> simulation.advanceWithoutDelivery(SETTLE_STEPS);
      case "two operators edit concurrently" -> simulation.editConcurrently(2, ListKind.PLANS);
      case "two operators edit concurrently while the answers of the store are lost" -> {
        simulation.setStoreAnswersLost(true);
        simulation.editConcurrently(2, ListKind.PLANS);
      }
      default -> throw new IllegalArgumentException("unknown fault '" + fault + "'");
    }
  }
}
