package org.mimosacleat.lab.fuzz;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/** The faults of a group by the words that the matrix uses. */
public enum Fault {
  /** The process of the home stands still. */
  HOME_PAUSES("the home pauses", Fault::pauseHome),
  /** The home ends, and an empty one takes its place. */
  HOME_DIES("the home dies", Fault::killHome),
  /** Another proxy takes the home for lost, wrongly. */
  HOME_IS_SUSPECTED("another proxy suspects the home", Fault::suspectHome),
  /** The home hands over. */
  HOME_HANDS_OVER("the home hands over", World::handOver),
  /** The primary stops. */
  PRIMARY_DIES("the primary dies", onPrimary(one -> one.up = false)),
  /** The primary stands still, and does what it was told when it goes on. */
  PRIMARY_FREEZES("the primary freezes", onPrimary(one -> one.frozen = true)),
  /** The primary is cut off from its replicas and still believes to lead. */
  PRIMARY_LOSES_GROUP(
      "the primary is cut off from its group", onPrimary(one -> one.connectedToGroup = false)),
  /** The primary is cut off from all proxies. */
  PRIMARY_LOSES_PROXIES(
      "the primary is cut off from the proxies", onPrimary(one -> one.reachable = false)),
  /** The primary does what it is told, and its answers are lost. */
  PRIMARY_LOSES_ANSWERS(
      "the answers of the primary are lost", onPrimary(one -> one.losesAnswers = true)),
  /** The platform lists the primary as leaving. */
  PRIMARY_LEAVES("the primary leaves", world -> world.endpointLeaves(world.primary())),
  /** A replica stops. */
  REPLICA_DIES("a replica dies", world -> world.change(replica(world), one -> one.up = false)),
  /** A replica stands still, and does what it was told when it goes on. */
  REPLICA_FREEZES(
      "a replica freezes", world -> world.change(replica(world), one -> one.frozen = true)),
  /** A replica does what it is told, and its answers are lost. */
  REPLICA_LOSES_ANSWERS("the answers of a replica are lost", Fault::loseReplicaAnswers),
  /** The replicas receive the log and do not replay it. */
  REPLICAS_FALL_BEHIND("the replicas fall behind", onReplicas(one -> one.replays = false)),
  /** The replicas receive nothing. */
  REPLICAS_LOSE_PRIMARY(
      "the replicas receive nothing", onReplicas(one -> one.connectedToGroup = false)),
  /** The table service refuses every call. */
  TABLE_DOWN("the table service is down", onTable(FakeTable.Mode.DOWN)),
  /** The table service answers no call for as long as the fault lasts. */
  TABLE_SLOW("the table service is slow", onTable(FakeTable.Mode.SLOW)),
  /** The table service does what it is told, and its answers are lost. */
  TABLE_LOSES_ANSWERS(
      "the answers of the table service are lost", onTable(FakeTable.Mode.LOSES_ANSWERS));

  private final String words;
  private final Consumer<World> effect;

  Fault(String words, Consumer<World> effect) {
    this.words = words;
    this.effect = effect;
  }

  /** Applies the faults that a text names; several are joined by "and". */
  public static void apply(String text, World world) {
    List.of(text.split(" and (?=the |a |another )"))
        .forEach(one -> named(one).effect.accept(world));
  }

  private static Fault named(String words) {
    return Arrays.stream(values())
        .filter(fault -> fault.words.equals(words))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown fault '" + words + "'"));
  }

  private static void pauseHome(World world) {
    world.home().ifPresent(home -> world.pauseProxy(home, true));
  }

  private static void killHome(World world) {
    world.home().ifPresent(world::replaceProxy);
  }

  private static void suspectHome(World world) {
    world.suspectHome((world.home().orElse(0) + 1) % World.PROXIES);
  }

  private static void loseReplicaAnswers(World world) {
    world.change(replica(world), one -> one.losesAnswers = true);
  }

  private static int replica(World world) {
    return (world.primary() + 1) % World.ENDPOINTS;
  }

  private static Consumer<World> onPrimary(Consumer<FakeInstance> change) {
    return world -> world.change(world.primary(), change);
  }

  private static Consumer<World> onReplicas(Consumer<FakeInstance> change) {
    return world -> {
      int primary = world.primary();
      for (int index = 0; index < World.ENDPOINTS; index++) {
        if (index != primary) {
          world.change(index, change);
        }
      }
    };
  }

  private static Consumer<World> onTable(FakeTable.Mode mode) {
    return world -> world.changeTable(mode);
  }
}
