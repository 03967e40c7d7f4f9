package org.mimosacleat.lab.workload;

import java.time.Duration;
import java.util.List;

/**
 * The mix of requests of one deployment.
 *
 * @param name the name of the deployment
 * @param actions the actions that sessions choose from at random; duplicates raise the probability
 */
public record Scenario(String name, List<Action> actions) {
  /** Members book meters, advocates check which are free, inspectors upload readings. */
  public static final Scenario KAITIAKI =
      new Scenario(
          "kaitiaki",
          List.of(
              new Action.NonRepeatableInsert("book", "booking"),
              new Action.TransactionalInsert("upload", "reading"),
              new Action.BoundedStalenessRead("check", "reading", Duration.ofMillis(500))));

  /** Crews log coats, supervisors approve work orders, neighbours look at the map. */
  public static final Scenario CARTAGO =
      new Scenario(
          "cartago",
          List.of(
              new Action.NonRepeatableInsert("approve", "approval"),
              new Action.TransactionalInsert("log coat", "coat"),
              new Action.BoundedStalenessRead("map", "coat", Duration.ofSeconds(2)),
              new Action.BoundedStalenessRead("map", "coat", Duration.ofSeconds(2))));

  /** Creates a scenario with a copy of the list. */
  public Scenario {
    actions = List.copyOf(actions);
  }
}
