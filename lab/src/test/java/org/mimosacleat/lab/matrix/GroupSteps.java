package org.mimosacleat.lab.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.mimosacleat.lab.fuzz.Fault;
import org.mimosacleat.lab.fuzz.World;

/** The steps of the matrix that concern a database group. */
public final class GroupSteps {
  private static final int FAULT_STEPS = 60;
  private static final int RECOVERY_STEPS = 120;
  private static final int MOST_STEPS = 100;
  private static final int SESSION = 1;

  private final World world = World.real();
  private int start;

  /** Checks the starting point. */
  @Given("a group with a home that serves")
  public void homeServes() {
    assertTrue(world.home().isPresent(), "no home serves");
  }

  /** Brings a write to a moment, and applies the fault then. */
  @When("a write {write} when {fault}")
  public void writeWithFault(String moment, String fault) {
    if (moment.equals("is about to be sent")) {
      Fault.apply(fault, world);
      write();
      return;
    }
    write();
    world.run(steps(moment));
    Fault.apply(fault, world);
  }

  /** Brings a promotion to a moment, and applies the fault then. */
  @When("a promotion {promotion} when {fault}")
  public void promotionWithFault(String moment, String fault) {
    write();
    world.run(4);
    start = world.journal().size();
    world.fail(world.primary());
    switch (moment) {
      case "is not decided yet" -> world.run(1);
      case "has started a term" -> runUntil("starting term");
      case "has chosen the next primary" -> runUntil("promoting ");
      case "serves" -> runUntil("serving term");
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    Fault.apply(fault, world);
  }

  /** Brings a change of home to a moment, and applies the fault then. */
  @When("a change of home {change} when {fault}")
  public void changeWithFault(String moment, String fault) {
    write();
    world.run(4);
    start = world.journal().size();
    Fault.apply("the home dies", world);
    switch (moment) {
      case "is not noticed yet" -> world.run(1);
      case "has written the row" -> runUntil("taking ");
      case "has the token accepted" -> runUntil("home of ");
      case "serves" -> runUntil("serving term");
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    Fault.apply(fault, world);
  }

  /** Lets the fault last. */
  @When("the fault lasts for a while with a client that goes on")
  public void faultLasts() {
    for (int step = 0; step < FAULT_STEPS; step++) {
      if (step % 10 == 0) {
        write();
        world.read(step / 10 % World.PROXIES, SESSION);
      }
      world.run(1);
    }
  }

  /** Ends the faults. */
  @When("the fault ends")
  public void faultEnds() {
    world.heal();
    world.run(RECOVERY_STEPS);
  }

  /** Asks the oracle. */
  @Then("nothing that must always hold is violated")
  public void nothingIsViolated() {
    world.home().ifPresent(home -> world.read(home, SESSION));
    world.run(5);
    assertEquals(List.of(), world.violations());
  }

  /** Sends a last write. */
  @Then("a client that writes again is answered")
  public void writesAgain() {
    assertTrue(world.home().isPresent(), () -> "no home serves: " + lastWords());
    String write = write();
    world.run(10);
    assertTrue(world.isAcknowledged(write), () -> write + " was not answered: " + lastWords());
  }

  private String write() {
    return world.write(world.home().orElse(0), SESSION);
  }

  private void runUntil(String words) {
    for (int step = 0; step < MOST_STEPS; step++) {
      if (world.journal().stream().skip(start).anyMatch(line -> line.contains(words))) {
        return;
      }
      world.run(1);
    }
    throw new AssertionError("'" + words + "' was not reached: " + lastWords());
  }

  private List<String> lastWords() {
    List<String> journal = world.journal();
    return journal.subList(Math.max(0, journal.size() - 12), journal.size());
  }

  private static int steps(String moment) {
    return switch (moment) {
      case "is on its way to the primary" -> 0;
      case "has run on the primary" -> 1;
      case "waits for its confirmation" -> 2;
      case "has been answered" -> 4;
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    };
  }
}
