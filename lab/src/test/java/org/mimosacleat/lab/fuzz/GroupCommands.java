package org.mimosacleat.lab.fuzz;

import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/** The random commands on a group and their relative frequencies. */
final class GroupCommands {
  private static final int MAX_COMMANDS = 60;
  private static final int SESSIONS = 3;
  private static final int MAX_STEPS = 12;
  private static final int MAX_MESSAGES = 40;

  private GroupCommands() {}

  static ActionChainArbitrary<GroupSimulation> chains(ProxyComponents components) {
    return ActionChain.startWith(() -> new GroupSimulation(components))
        .withAction(8, request("write", GroupSimulation::write))
        .withAction(8, request("read", GroupSimulation::read))
        .withAction(
            14, FuzzRunner.command("run", MAX_STEPS, (simulation, n) -> simulation.runSteps(n + 1)))
        .withAction(
            3,
            FuzzRunner.command(
                "run long", MAX_STEPS, (simulation, n) -> simulation.runSteps(20 + 4 * n)))
        .withAction(
            6, FuzzRunner.command("write at the home", SESSIONS, GroupCommands::writeAtHome))
        .withAction(6, FuzzRunner.command("read at the home", SESSIONS, GroupCommands::readAtHome))
        .withAction(
            3,
            FuzzRunner.command(
                "pause the home", 1, (simulation, n) -> GroupCommands.pauseHome(simulation)))
        .withAction(
            4, FuzzRunner.command("run one step", 1, (simulation, n) -> simulation.runSteps(1)))
        .withAction(
            3,
            FuzzRunner.command(
                "pause the home after a write", 3, GroupCommands::pauseHomeAfterWrite))
        .withAction(2, primary("up", (instance, enabled) -> instance.up = enabled))
        .withAction(2, primary("frozen", (instance, enabled) -> instance.frozen = enabled))
        .withAction(2, primary("reachable", (instance, enabled) -> instance.reachable = enabled))
        .withAction(
            2,
            primary(
                "connected to the group",
                (instance, enabled) -> instance.connectedToGroup = enabled))
        .withAction(4, FuzzRunner.command("deliver", MAX_MESSAGES, GroupSimulation::deliverOne))
        .withAction(3, FuzzRunner.command("drop", MAX_MESSAGES, GroupSimulation::dropOne))
        .withAction(
            2,
            FuzzRunner.command(
                "pause",
                GroupSimulation.PROXIES,
                (simulation, n) -> simulation.pauseProxy(n, true)))
        .withAction(
            2,
            FuzzRunner.command(
                "resume",
                GroupSimulation.PROXIES,
                (simulation, n) -> simulation.pauseProxy(n, false)))
        .withAction(
            1,
            FuzzRunner.command("replace", GroupSimulation.PROXIES, GroupSimulation::replaceProxy))
        .withAction(
            2,
            FuzzRunner.command(
                "acquire the home", GroupSimulation.PROXIES, GroupSimulation::acquireHomeFrom))
        .withAction(1, FuzzRunner.command("hand over", 1, (simulation, n) -> simulation.handOver()))
        .withAction(
            1,
            FuzzRunner.command("leaving", GroupSimulation.ENDPOINTS, GroupSimulation::markLeaving))
        .withAction(
            2,
            FuzzRunner.command(
                "table",
                FakeTable.Mode.values().length,
                (simulation, n) -> simulation.setTableMode(FakeTable.Mode.values()[n])))
        .withAction(2, endpoint("up", (instance, enabled) -> instance.up = enabled))
        .withAction(2, endpoint("frozen", (instance, enabled) -> instance.frozen = enabled))
        .withAction(2, endpoint("reachable", (instance, enabled) -> instance.reachable = enabled))
        .withAction(
            3,
            endpoint(
                "connected to the group",
                (instance, enabled) -> instance.connectedToGroup = enabled))
        .withAction(3, endpoint("replaying", (instance, enabled) -> instance.replaying = enabled))
        .withAction(
            2, endpoint("drops answers", (instance, enabled) -> instance.dropsAnswers = enabled))
        .withAction(2, FuzzRunner.command("heal", 1, (simulation, n) -> simulation.heal()))
        .withMaxTransformations(MAX_COMMANDS);
  }

  private static Action.Independent<GroupSimulation> request(String name, Request request) {
    return () ->
        FuzzRunner.number(GroupSimulation.PROXIES)
            .flatMap(
                proxy ->
                    FuzzRunner.number(SESSIONS)
                        .map(
                            session ->
                                Transformer.mutate(
                                    name + " by session " + session + " through vm" + proxy,
                                    simulation -> request.send(simulation, proxy, session))));
  }

  private static Action.Independent<GroupSimulation> endpoint(
      String name, BiConsumer<FakeInstance, Boolean> change) {
    return () ->
        FuzzRunner.number(GroupSimulation.ENDPOINTS)
            .flatMap(
                index ->
                    Arbitraries.of(true, false)
                        .map(
                            enabled ->
                                Transformer.mutate(
                                    "endpoint-" + index + " " + name + ": " + enabled,
                                    simulation ->
                                        simulation.changeInstance(
                                            index, instance -> change.accept(instance, enabled)))));
  }

  private static Action.Independent<GroupSimulation> primary(
      String name, BiConsumer<FakeInstance, Boolean> change) {
    return () ->
        Arbitraries.of(true, false)
            .map(
                enabled ->
                    Transformer.mutate(
                        "primary " + name + ": " + enabled,
                        simulation ->
                            simulation.changeInstance(
                                simulation.primary(),
                                instance -> change.accept(instance, enabled))));
  }

  private static void writeAtHome(GroupSimulation simulation, int session) {
    simulation.write(simulation.home().orElse(0), session);
  }

  private static void readAtHome(GroupSimulation simulation, int session) {
    simulation.read(simulation.home().orElse(0), session);
  }

  private static void pauseHomeAfterWrite(GroupSimulation simulation, int steps) {
    writeAtHome(simulation, 0);
    simulation.runSteps(steps);
    pauseHome(simulation);
  }

  private static void pauseHome(GroupSimulation simulation) {
    simulation.home().ifPresent(home -> simulation.pauseProxy(home, true));
  }

  /** A request of a client. */
  private interface Request {
    void send(GroupSimulation simulation, int proxy, int session);
  }
}
