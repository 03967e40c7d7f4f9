package org.mimosacleat.lab.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.lab.fuzz.ListWorld;

/** The steps of the matrix that concern the operators' lists. */
public final class ListSteps {
  private static final int SETTLED = 30;

  private final ListWorld world = ListWorld.real();

  /** Brings an edit to a moment, and applies the fault then. */
  @When("a list change {edit} when {fault}")
  public void editWithFault(String moment, String fault) {
    world.run(SETTLED);
    world.edit(0, ListKind.PLANS);
    world.run(SETTLED);
    switch (moment) {
      case "is about to be written" -> {
        apply(fault);
        world.edit(0, ListKind.PLANS);
      }
      case "is written" -> {
        world.edit(0, ListKind.PLANS);
        apply(fault);
      }
      case "has reached one proxy" -> {
        world.edit(0, ListKind.PLANS);
        world.deliverOne(0);
        apply(fault);
      }
      case "is in force everywhere" -> {
        world.edit(0, ListKind.PLANS);
        world.run(SETTLED);
        apply(fault);
      }
      default -> throw new IllegalArgumentException("unknown moment '" + moment + "'");
    }
    world.run(SETTLED);
  }

  /** Waits ten seconds without faults and asks the oracle. */
  @Then("every accepted list change is in force everywhere within ten seconds and none reverts")
  public void inForceEverywhere() {
    world.expectInForceEverywhere();
    assertEquals(List.of(), world.violations());
  }

  private void apply(String fault) {
    switch (fault) {
      case "the proxy that took it dies" -> world.replace(0);
      case "another proxy dies" -> world.replace(1);
      case "all proxies die" -> {
        for (int proxy = 0; proxy < ListWorld.PROXIES; proxy++) {
          world.replace(proxy);
        }
      }
      case "the store is down" -> world.storeDown(true);
      case "the answers of the store are lost" -> world.answersLost(true);
      case "messages are lost" -> {
        for (int message = 0; message < 20; message++) {
          world.loseOne(0);
        }
      }
      case "messages arrive late" -> world.delay(SETTLED);
      case "two operators race" -> world.race(2, ListKind.PLANS);
      case "two operators race while the answers of the store are lost" -> {
        world.answersLost(true);
        world.race(2, ListKind.PLANS);
      }
      default -> throw new IllegalArgumentException("unknown fault '" + fault + "'");
    }
  }
}
