package org.mimosacleat.lab.fuzz;

import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/** The commands of the fuzz, with how often each is drawn. */
final class Commands {
  private static final int MOST_COMMANDS = 60;
  private static final int SESSIONS = 3;
  private static final int MOST_STEPS = 12;
  private static final int MOST_MESSAGES = 40;

  private Commands() {}

  static ActionChainArbitrary<World> chains(Decisions decisions) {
    return ActionChain.startWith(() -> new World(decisions))
        .withAction(8, request("write", World::write))
        .withAction(8, request("read", World::read))
        .withAction(14, Fuzz.command("run", MOST_STEPS, (world, n) -> world.run(n + 1)))
        .withAction(3, Fuzz.command("run long", MOST_STEPS, (world, n) -> world.run(20 + 4 * n)))
        .withAction(6, Fuzz.command("write at the home", SESSIONS, Commands::writeAtHome))
        .withAction(6, Fuzz.command("read at the home", SESSIONS, Commands::readAtHome))
        .withAction(3, Fuzz.command("pause the home", 1, (world, n) -> Commands.pauseHome(world)))
        .withAction(4, Fuzz.command("run one step", 1, (world, n) -> world.run(1)))
        .withAction(3, Fuzz.command("pause the home behind a write", 3, Commands::pauseBehindWrite))
        .withAction(2, primary("up", (one, on) -> one.up = on))
        .withAction(2, primary("frozen", (one, on) -> one.frozen = on))
        .withAction(2, primary("reachable", (one, on) -> one.reachable = on))
        .withAction(2, primary("in the group", (one, on) -> one.connectedToGroup = on))
        .withAction(4, Fuzz.command("deliver", MOST_MESSAGES, World::deliverOne))
        .withAction(3, Fuzz.command("lose", MOST_MESSAGES, World::loseOne))
        .withAction(
            2, Fuzz.command("pause", World.PROXIES, (world, n) -> world.pauseProxy(n, true)))
        .withAction(
            2, Fuzz.command("resume", World.PROXIES, (world, n) -> world.pauseProxy(n, false)))
        .withAction(1, Fuzz.command("replace", World.PROXIES, World::replaceProxy))
        .withAction(2, Fuzz.command("suspect", World.PROXIES, World::suspectHome))
        .withAction(1, Fuzz.command("hand over", 1, (world, n) -> world.handOver()))
        .withAction(1, Fuzz.command("leaving", World.ENDPOINTS, World::endpointLeaves))
        .withAction(
            2,
            Fuzz.command(
                "table",
                FakeTable.Mode.values().length,
                (world, n) -> world.changeTable(FakeTable.Mode.values()[n])))
        .withAction(2, endpoint("up or down", (one, on) -> one.up = on))
        .withAction(2, endpoint("frozen", (one, on) -> one.frozen = on))
        .withAction(2, endpoint("reachable", (one, on) -> one.reachable = on))
        .withAction(3, endpoint("in the group", (one, on) -> one.connectedToGroup = on))
        .withAction(3, endpoint("replays", (one, on) -> one.replays = on))
        .withAction(2, endpoint("loses answers", (one, on) -> one.losesAnswers = on))
        .withAction(2, Fuzz.command("heal", 1, (world, n) -> world.heal()))
        .withMaxTransformations(MOST_COMMANDS);
  }

  private static Action.Independent<World> request(String name, Request request) {
    return () ->
        Fuzz.number(World.PROXIES)
            .flatMap(
                proxy ->
                    Fuzz.number(SESSIONS)
                        .map(
                            session ->
                                Transformer.mutate(
                                    name + " by session " + session + " through vm" + proxy,
                                    world -> request.send(world, proxy, session))));
  }

  private static Action.Independent<World> endpoint(
      String name, BiConsumer<FakeInstance, Boolean> change) {
    return () ->
        Fuzz.number(World.ENDPOINTS)
            .flatMap(
                index ->
                    Arbitraries.of(true, false)
                        .map(
                            on ->
                                Transformer.mutate(
                                    "endpoint-" + index + " " + name + ": " + on,
                                    world -> world.change(index, one -> change.accept(one, on)))));
  }

  private static Action.Independent<World> primary(
      String name, BiConsumer<FakeInstance, Boolean> change) {
    return () ->
        Arbitraries.of(true, false)
            .map(
                on ->
                    Transformer.mutate(
                        "primary " + name + ": " + on,
                        world -> world.change(world.primary(), one -> change.accept(one, on))));
  }

  private static void writeAtHome(World world, int session) {
    world.write(world.home().orElse(0), session);
  }

  private static void readAtHome(World world, int session) {
    world.read(world.home().orElse(0), session);
  }

  private static void pauseBehindWrite(World world, int steps) {
    writeAtHome(world, 0);
    world.run(steps);
    pauseHome(world);
  }

  private static void pauseHome(World world) {
    world.home().ifPresent(home -> world.pauseProxy(home, true));
  }

  /** A request of a client. */
  private interface Request {
    void send(World world, int proxy, int session);
  }
}
