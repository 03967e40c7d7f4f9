package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.mimosacleat.core.drain.ProxyDrain;
import org.mimosacleat.core.drain.ProxyDrainAction;
import org.mimosacleat.core.drain.ProxyDrainInput;
import org.mimosacleat.core.drain.ProxyDrainTimeouts;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.time.PausedClock;

/**
 * Simulates the graceful shutdown of a proxy with requests in flight, both at its home and from its
 * own clients.
 */
public final class DrainSimulation {
  private static final GroupId GROUP = new GroupId("lending");
  private static final Duration STEP_DURATION = Duration.ofMillis(20);

  private final UnaryOperator<List<ProxyDrainAction>> actionChange;
  private final PausedClock clock = new PausedClock();
  private final ProxyDrain drain = new ProxyDrain(clock, ProxyDrainTimeouts.STANDARD);
  private final List<String> violations = new ArrayList<>();
  private boolean signalled;
  private boolean isHome = true;
  private boolean handingOver;
  private boolean tableServiceDown;
  private boolean newWorkHeld;
  private boolean accepting = true;
  private boolean exited;
  private int homeRequests;
  private int clientRequests;
  private int finishedRequests;

  /** Starts as the home of a group; {@code actionChange} is the defect of a mutant, if any. */
  DrainSimulation(UnaryOperator<List<ProxyDrainAction>> actionChange) {
    this.actionChange = actionChange;
  }

  /** Creates a simulation with the production drain. */
  public static DrainSimulation withRealDrain() {
    return new DrainSimulation(UnaryOperator.identity());
  }

  /** Returns the violations found so far. */
  public List<String> violations() {
    return violations;
  }

  /** Returns whether the proxy has exited. */
  public boolean hasExited() {
    return exited;
  }

  /** Returns how many requests completed. */
  public int finishedRequests() {
    return finishedRequests;
  }

  /** Starts a request at the home, unless new work is held or another proxy is the home. */
  public void startHomeRequest() {
    if (isHome && !handingOver && !newWorkHeld && !exited) {
      homeRequests++;
    }
  }

  /** Starts a request of a client of this proxy, unless it no longer accepts requests. */
  public void startClientRequest() {
    if (accepting && !exited) {
      clientRequests++;
    }
  }

  /** Completes a request at the home. */
  public void finishHomeRequest() {
    finishedRequests += homeRequests > 0 ? 1 : 0;
    homeRequests = Math.max(0, homeRequests - 1);
  }

  /** Completes a request of a client of this proxy. */
  public void finishClientRequest() {
    finishedRequests += clientRequests > 0 ? 1 : 0;
    clientRequests = Math.max(0, clientRequests - 1);
  }

  /** Sends the termination signal, once at most, since an operator sends only one. */
  public void signal() {
    if (!signalled) {
      signalled = true;
      step(new ProxyDrainInput.Signal());
    }
  }

  /** Sets whether the table service is down, which prevents the write of a hand-over. */
  public void setTableServiceDown(boolean down) {
    tableServiceDown = down;
  }

  /** Advances time by steps of 20 ms. */
  public void runSteps(int steps) {
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP_DURATION);
      if (handingOver && !tableServiceDown) {
        handingOver = false;
        isHome = false;
      }
      Map<GroupId, Integer> homes = isHome ? Map.of(GROUP, homeRequests) : Map.of();
      step(new ProxyDrainInput.Progress(homes, clientRequests));
    }
  }

  private void step(ProxyDrainInput input) {
    if (!exited) {
      actionChange.apply(drain.step(input)).forEach(this::execute);
    }
  }

  private void execute(ProxyDrainAction action) {
    switch (action) {
      case ProxyDrainAction.AnnounceLeaving() -> {
        // Interrupts no request.
      }
      case ProxyDrainAction.Hold hold -> newWorkHeld = true;
      case ProxyDrainAction.Release release -> newWorkHeld = false;
      case ProxyDrainAction.HandOver handOver -> {
        expectNoneInFlight(homeRequests, "the hand-over");
        newWorkHeld = false;
        handingOver = true;
      }
      case ProxyDrainAction.StopAccepting() -> accepting = false;
      case ProxyDrainAction.Exit exit -> {
        expectNoneInFlight(homeRequests + clientRequests, "the exit");
        exited = true;
      }
    }
  }

  private void expectNoneInFlight(int inFlight, String event) {
    if (inFlight > 0) {
      violations.add("graceful shutdown: " + event + " interrupted " + inFlight + " requests");
    }
  }
}
