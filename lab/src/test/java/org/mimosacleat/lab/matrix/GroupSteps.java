package org.mimosacleat.lab.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.mimosacleat.lab.fuzz.Fault;
import org.mimosacleat.lab.fuzz.GroupSimulation;

/** Step definitions for a database group. */
public final class GroupSteps {
  private static final int FAULT_STEPS = 60;
  private static final int RECOVERY_STEPS = 120;
  private static final int MAX_STEPS = 100;
  private static final int SESSION = 1;

  private final GroupSimulation simulation = GroupSimulation.withRealComponents();
  private int firstExplanation;

  /** Checks that a home serves at the start. */
  @Given("a group with a home that serves")
  public void homeServes() {
    assertTrue(simulation.home().isPresent(), "no home serves");
  }

  /** Runs a write to the given moment and then applies the fault. */
  @When("a write {write} when {fault}")
  public void writeWithFault(String moment, String fault) {
    if (moment.equals("is about to be sent")) {
      Fault.apply(fault, simulation);
      write();
      return;
    }
    write();
    simulation.runSteps(steps(moment));
    Fault.apply(fault, simulation);
  }

  /** Runs a promotion to the given moment and then applies the fault. */
  @When("a promotion {promotion} when {fault}")
  public void promotionWithFault(String moment, String fault) {
    write();
    simulation.runSteps(4);
    firstExplanation = simulation.explanations().size();
    simulation.stopInstance(simulation.primary());
    switch (moment) {
      case "has not been decided" -> simulation.runSteps(1);
      case "has started a term" -> runUntilExplained("starting term");
      case "has chosen the next primary" -> runUntilExplained("promoting ");
      case "serves" -> runUntilExplained("serving term");
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    Fault.apply(fault, simulation);
  }

  /** Runs a change of home to the given moment and then applies the fault. */
  @When("a change of home {change} when {fault}")
  public void changeWithFault(String moment, String fault) {
    write();
    simulation.runSteps(4);
    firstExplanation = simulation.explanations().size();
    Fault.apply("the home dies", simulation);
    switch (moment) {
      case "has not been detected" -> simulation.runSteps(1);
      case "has written the row" -> runUntilExplained("taking ");
      case "has its token accepted" -> runUntilExplained("home of ");
      case "serves" -> runUntilExplained("serving term");
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    Fault.apply(fault, simulation);
  }

  /** Runs with the fault while a client sends writes and reads. */
  @When("the fault lasts while a client keeps sending requests")
  public void faultLasts() {
    for (int step = 0; step < FAULT_STEPS; step++) {
      if (step % 10 == 0) {
        write();
        simulation.read(step / 10 % GroupSimulation.PROXIES, SESSION);
      }
      simulation.runSteps(1);
    }
  }

  /** Ends all faults and runs until the group can recover. */
  @When("the fault ends")
  public void faultEnds() {
    simulation.heal();
    simulation.runSteps(RECOVERY_STEPS);
  }

  /** Reads once more and checks that the oracle found no violation. */
  @Then("no invariant is violated")
  public void noInvariantIsViolated() {
    simulation.home().ifPresent(home -> simulation.read(home, SESSION));
    simulation.runSteps(5);
    assertEquals(List.of(), simulation.violations());
  }

  /** Checks that a write after the fault is acknowledged. */
  @Then("a further write is acknowledged")
  public void furtherWriteIsAcknowledged() {
    assertTrue(simulation.home().isPresent(), () -> "no home serves: " + recentExplanations());
    String write = write();
    simulation.runSteps(10);
    assertTrue(
        simulation.isAcknowledged(write),
        () -> write + " was not acknowledged: " + recentExplanations());
  }

  private String write() {
    return simulation.write(simulation.home().orElse(0), SESSION);
  }

  private void runUntilExplained(String text) {
    for (int step = 0; step < MAX_STEPS; step++) {
      if (simulation.explanations().stream()
          .skip(firstExplanation)
          .anyMatch(line -> line.contains(text))) {
        return;
      }
      simulation.runSteps(1);
    }
    throw new AssertionError("'" + text + "' was not reached: " + recentExplanations());
  }

  private List<String> recentExplanations() {
    List<String> explanations = simulation.explanations();
    return explanations.subList(Math.max(0, explanations.size() - 12), explanations.size());
  }

  private static int steps(String moment) {
    return switch (moment) {
      case "is in flight to the primary" -> 0;
      case "has run on the primary" -> 1;
      case "awaits its confirmation" -> 2;
      case "has been answered" -> 4;
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    };
  }
}
