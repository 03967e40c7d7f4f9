package org.mimosacleat.lab.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.mimosacleat.lab.fuzz.DrainWorld;

/** The steps of the matrix that concern the graceful stop of a proxy. */
public final class DrainSteps {
  private static final int FAULT_STEPS = 150;
  private static final int LAST_STEPS = 400;

  private final DrainWorld world = DrainWorld.real();
  private int longRequests;
  private int longClients;

  /** Brings a drain to a moment, and applies the fault then. */
  @When("a drain {drain} when {fault}")
  public void drainWithFault(String moment, String fault) {
    world.startOfClient();
    world.startAtHome();
    switch (moment) {
      case "has not begun" -> {
        apply(fault);
        world.signal();
      }
      case "holds new work back" -> {
        world.signal();
        world.run(1);
        apply(fault);
      }
      case "has handed over" -> {
        world.signal();
        world.run(1);
        world.finishAtHome();
        world.run(1);
        apply(fault);
      }
      case "has stopped accepting" -> {
        world.signal();
        world.run(1);
        world.finishAtHome();
        world.run(3);
        apply(fault);
      }
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    world.run(FAULT_STEPS);
  }

  /** Lets all requests end, and expects that the proxy then ends as well. */
  @Then("the proxy ends and cuts off no request")
  public void endsWithoutCut() {
    world.tableDown(false);
    for (int request = 0; request <= longRequests; request++) {
      world.finishAtHome();
    }
    for (int request = 0; request <= longClients; request++) {
      world.finishOfClient();
    }
    world.run(LAST_STEPS);
    assertTrue(world.hasExited(), "the proxy has not ended");
    assertEquals(List.of(), world.violations());
  }

  private void apply(String fault) {
    switch (fault) {
      case "a long transaction runs at the home" -> {
        longRequests++;
        world.startAtHome();
      }
      case "a long answer is on its way to a client" -> {
        longClients++;
        world.startOfClient();
      }
      case "the table service is down" -> world.tableDown(true);
      case "a new request arrives" -> {
        world.startAtHome();
        world.startOfClient();
        world.finishAtHome();
        world.finishOfClient();
      }
      default -> throw new IllegalArgumentException("unknown fault '" + fault + "'");
    }
  }
}
