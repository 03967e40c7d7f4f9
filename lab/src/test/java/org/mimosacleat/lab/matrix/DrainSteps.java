package org.mimosacleat.lab.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.mimosacleat.lab.fuzz.DrainSimulation;

/** Step definitions for the graceful shutdown of a proxy. */
public final class DrainSteps {
  private static final int FAULT_STEPS = 150;
  private static final int EXIT_STEPS = 400;

  private final DrainSimulation simulation = DrainSimulation.withRealDrain();
  private int longHomeRequests;
  private int longClientRequests;

  /** Runs a drain to the given moment and then applies the fault. */
  @When("a drain {drain} when {fault}")
  public void drainWithFault(String moment, String fault) {
    simulation.startClientRequest();
    simulation.startHomeRequest();
    switch (moment) {
      case "has not begun" -> {
        applyFault(fault);
        simulation.signal();
      }
      case "holds new requests" -> {
        simulation.signal();
        simulation.runSteps(1);
        applyFault(fault);
      }
      case "has handed over" -> {
        simulation.signal();
        simulation.runSteps(1);
        simulation.finishHomeRequest();
        simulation.runSteps(1);
        applyFault(fault);
      }
      case "has stopped accepting" -> {
        simulation.signal();
        simulation.runSteps(1);
        simulation.finishHomeRequest();
        simulation.runSteps(3);
        applyFault(fault);
      }
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    simulation.runSteps(FAULT_STEPS);
  }

  /** Completes all requests and checks that the proxy then exits. */
  @Then("the proxy exits without interrupting a request")
  public void exitsWithoutInterruptingRequests() {
    simulation.setTableServiceDown(false);
    for (int request = 0; request <= longHomeRequests; request++) {
      simulation.finishHomeRequest();
    }
    for (int request = 0; request <= longClientRequests; request++) {
      simulation.finishClientRequest();
    }
    simulation.runSteps(EXIT_STEPS);
    assertTrue(simulation.hasExited(), "the proxy has not exited");
    assertEquals(List.of(), simulation.violations());
  }

  private void applyFault(String fault) {
    switch (fault) {
      case "a long transaction runs at the home" -> {
        longHomeRequests++;
        simulation.startHomeRequest();
      }
      case "a long answer is in flight to a client" -> {
        longClientRequests++;
        simulation.startClientRequest();
      }
      case "the table service is down" -> simulation.setTableServiceDown(true);
      case "a new request arrives" -> {
        simulation.startHomeRequest();
        simulation.startClientRequest();
        simulation.finishHomeRequest();
        simulation.finishClientRequest();
      }
      default -> throw new IllegalArgumentException("unknown fault '" + fault + "'");
    }
  }
}
