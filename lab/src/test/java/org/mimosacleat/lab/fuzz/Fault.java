package org.mimosacleat.lab.fuzz;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/** The faults of a group, named by the phrases of the fault matrix. */
public enum Fault {
  /** The process of the home is paused. */
  HOME_PAUSES("the home pauses", Fault::pauseHome),
  /** The home crashes, and a proxy without state replaces it. */
  HOME_DIES("the home dies", Fault::killHome),
  /** Another proxy wrongly suspects the home and tries to replace it. */
  HOME_IS_SUSPECTED("another proxy suspects the home", Fault::suspectHome),
  /** The home hands over to another proxy. */
  HOME_HANDS_OVER("the home hands over", GroupSimulation::handOver),
  /** The primary stops. */
  PRIMARY_DIES("the primary dies", onPrimary(instance -> instance.up = false)),
  /** The primary freezes, and processes pending requests when it resumes. */
  PRIMARY_FREEZES("the primary freezes", onPrimary(instance -> instance.frozen = true)),
  /** The primary is partitioned from its replicas and still acts as primary. */
  PRIMARY_LOSES_GROUP(
      "the primary is partitioned from its replicas",
      onPrimary(instance -> instance.connectedToGroup = false)),
  /** No proxy can connect to the primary. */
  PRIMARY_LOSES_PROXIES(
      "the primary is unreachable from the proxies",
      onPrimary(instance -> instance.reachable = false)),
  /** The primary processes requests, but its answers are lost. */
  PRIMARY_LOSES_ANSWERS(
      "the answers of the primary are lost", onPrimary(instance -> instance.dropsAnswers = true)),
  /** The platform lists the primary as leaving. */
  PRIMARY_LEAVES("the primary leaves", simulation -> simulation.markLeaving(simulation.primary())),
  /** A replica stops. */
  REPLICA_DIES(
      "a replica dies", s -> s.changeInstance(replica(s), instance -> instance.up = false)),
  /** A replica freezes, and processes pending requests when it resumes. */
  REPLICA_FREEZES(
      "a replica freezes", s -> s.changeInstance(replica(s), instance -> instance.frozen = true)),
  /** A replica processes requests, but its answers are lost. */
  REPLICA_LOSES_ANSWERS("the answers of a replica are lost", Fault::loseReplicaAnswers),
  /** The replicas receive the log but do not replay it. */
  REPLICAS_FALL_BEHIND(
      "the replicas fall behind", onReplicas(instance -> instance.replaying = false)),
  /** The replicas receive no log records. */
  REPLICAS_LOSE_PRIMARY(
      "the replicas receive no log records",
      onReplicas(instance -> instance.connectedToGroup = false)),
  /** The table service refuses every call. */
  TABLE_DOWN("the table service is down", onTable(FakeTable.Mode.DOWN)),
  /** The table service answers no call while the fault lasts. */
  TABLE_SLOW("the table service is slow", onTable(FakeTable.Mode.SLOW)),
  /** The table service processes calls, but its answers are lost. */
  TABLE_LOSES_ANSWERS(
      "the answers of the table service are lost", onTable(FakeTable.Mode.LOSES_ANSWERS));

  private final String phrase;
  private final Consumer<GroupSimulation> effect;

  Fault(String phrase, Consumer<GroupSimulation> effect) {
    this.phrase = phrase;
    this.effect = effect;
  }

  /** Applies the faults that a text names, joined by "and". */
  public static void apply(String text, GroupSimulation simulation) {
    List.of(text.split(" and (?=the |a |another )"))
        .forEach(phrase -> withPhrase(phrase).effect.accept(simulation));
  }

  private static Fault withPhrase(String phrase) {
    return Arrays.stream(values())
        .filter(fault -> fault.phrase.equals(phrase))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown fault '" + phrase + "'"));
  }

  private static void pauseHome(GroupSimulation simulation) {
    simulation.home().ifPresent(home -> simulation.pauseProxy(home, true));
  }

  private static void killHome(GroupSimulation simulation) {
    simulation.home().ifPresent(simulation::replaceProxy);
  }

  private static void suspectHome(GroupSimulation simulation) {
    simulation.acquireHomeFrom((simulation.home().orElse(0) + 1) % GroupSimulation.PROXIES);
  }

  private static void loseReplicaAnswers(GroupSimulation simulation) {
    simulation.changeInstance(replica(simulation), instance -> instance.dropsAnswers = true);
  }

  private static int replica(GroupSimulation simulation) {
    return (simulation.primary() + 1) % GroupSimulation.ENDPOINTS;
  }

  private static Consumer<GroupSimulation> onPrimary(Consumer<FakeInstance> change) {
    return simulation -> simulation.changeInstance(simulation.primary(), change);
  }

  private static Consumer<GroupSimulation> onReplicas(Consumer<FakeInstance> change) {
    return simulation -> {
      int primary = simulation.primary();
      for (int index = 0; index < GroupSimulation.ENDPOINTS; index++) {
        if (index != primary) {
          simulation.changeInstance(index, change);
        }
      }
    };
  }

  private static Consumer<GroupSimulation> onTable(FakeTable.Mode mode) {
    return simulation -> simulation.setTableMode(mode);
  }
}
