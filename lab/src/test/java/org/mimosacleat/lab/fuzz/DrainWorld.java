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

/** A proxy that stops while requests are in flight at its home and for its own clients. */
public final class DrainWorld {
  private static final GroupId GROUP = new GroupId("lending");
  private static final Duration STEP = Duration.ofMillis(20);

  private final UnaryOperator<List<ProxyDrainAction>> change;
  private final PausedClock clock = new PausedClock();
  private final ProxyDrain drain = new ProxyDrain(clock, ProxyDrainTimeouts.STANDARD);
  private final List<String> violations = new ArrayList<>();
  private boolean signalled;
  private boolean isHome = true;
  private boolean handingOver;
  private boolean tableDown;
  private boolean held;
  private boolean accepts = true;
  private boolean exited;
  private int atHome;
  private int ofClients;
  private int finished;

  /** Starts as the home of a group; {@code change} is what a mutant makes of the actions. */
  DrainWorld(UnaryOperator<List<ProxyDrainAction>> change) {
    this.change = change;
  }

  /** Makes a world with the real drain. */
  public static DrainWorld real() {
    return new DrainWorld(UnaryOperator.identity());
  }

  /** Returns what was violated. */
  public List<String> violations() {
    return violations;
  }

  /** Tells whether the proxy has ended. */
  public boolean hasExited() {
    return exited;
  }

  /** Returns how many requests ended whole. */
  public int finished() {
    return finished;
  }

  /** A request starts at the home, unless new work is held back or another proxy is the home. */
  public void startAtHome() {
    if (isHome && !handingOver && !held && !exited) {
      atHome++;
    }
  }

  /** A request of an own client starts. */
  public void startOfClient() {
    if (accepts && !exited) {
      ofClients++;
    }
  }

  /** A request at the home ends. */
  public void finishAtHome() {
    finished += atHome > 0 ? 1 : 0;
    atHome = Math.max(0, atHome - 1);
  }

  /** A request of an own client ends. */
  public void finishOfClient() {
    finished += ofClients > 0 ? 1 : 0;
    ofClients = Math.max(0, ofClients - 1);
  }

  /** The process gets a signal; the operator sends one only. */
  public void signal() {
    if (!signalled) {
      signalled = true;
      step(new ProxyDrainInput.Signal());
    }
  }

  /** Sets whether a hand-over can be written. */
  public void tableDown(boolean down) {
    tableDown = down;
  }

  /** Lets time pass in steps of 20 ms. */
  public void run(int steps) {
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP);
      if (handingOver && !tableDown) {
        handingOver = false;
        isHome = false;
      }
      Map<GroupId, Integer> homes = isHome ? Map.of(GROUP, atHome) : Map.of();
      step(new ProxyDrainInput.Progress(homes, ofClients));
    }
  }

  private void step(ProxyDrainInput input) {
    if (!exited) {
      change.apply(drain.step(input)).forEach(this::carryOut);
    }
  }

  private void carryOut(ProxyDrainAction action) {
    switch (action) {
      case ProxyDrainAction.AnnounceLeaving() -> {
        // Nothing to cut off.
      }
      case ProxyDrainAction.Hold hold -> held = true;
      case ProxyDrainAction.Release release -> held = false;
      case ProxyDrainAction.HandOver handOver -> {
        expectNone(atHome, "the hand-over");
        held = false;
        handingOver = true;
      }
      case ProxyDrainAction.StopAccepting() -> accepts = false;
      case ProxyDrainAction.Exit exit -> {
        expectNone(atHome + ofClients, "the exit");
        exited = true;
      }
    }
  }

  private void expectNone(int inFlight, String moment) {
    if (inFlight > 0) {
      violations.add("graceful shutdown: " + moment + " cut off " + inFlight + " requests");
    }
  }
}
