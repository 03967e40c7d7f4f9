package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.mimosacleat.core.credit.CreditGrant;
import org.mimosacleat.core.credit.CreditPacer;
import org.mimosacleat.core.credit.LedgerAction;
import org.mimosacleat.core.credit.LedgerInput;
import org.mimosacleat.core.credit.LedgerRow;
import org.mimosacleat.core.credit.LedgerStateMachine;
import org.mimosacleat.core.credit.PacingSettings;
import org.mimosacleat.core.time.PausedClock;

/** Simulates two proxies that debit one ledger while the fleet spends up to the highest cap. */
public final class LedgerSimulation {
  private static final Duration STEP_DURATION = Duration.ofSeconds(10);
  private static final Duration GRANT_VALIDITY = Duration.ofHours(2);
  private static final long GRANTED_CREDITS = 7_200_000;
  private static final PacingSettings SETTINGS =
      new PacingSettings(Duration.ofMinutes(10), 100, 6000, 0.005);

  private final PausedClock clock = new PausedClock();
  private final Random random = new Random(1);
  private final Instant expiry = clock.instant().plus(GRANT_VALIDITY);
  private final LedgerStateMachine[] machines = {newMachine(), newMachine()};
  private final boolean[] paused = new boolean[machines.length];
  private final List<Runnable> delayedWrites = new ArrayList<>();
  private Optional<LedgerRow> latestRow = Optional.empty();
  private boolean tableServiceDown;
  private boolean answersLost;
  private boolean writesDelayed;
  private double spentCredits;
  private int writtenRows;

  /** Returns how many rows were written. */
  public int writtenRows() {
    return writtenRows;
  }

  /** Returns whether the spending is within the grant. */
  public boolean isWithinGrant() {
    return spentCredits <= GRANTED_CREDITS;
  }

  /** Applies the fault that the phrase names. */
  public void applyFault(String phrase) {
    switch (phrase) {
      case "the table service is down" -> tableServiceDown = true;
      case "the answers of the table service are lost" -> answersLost = true;
      case "a write is applied late" -> writesDelayed = true;
      case "the proxy that debits dies" -> machines[0] = newMachine();
      case "the proxy that debits pauses" -> paused[0] = true;
      case "both proxies die" -> Arrays.setAll(machines, unused -> newMachine());
      default -> throw new IllegalArgumentException("unknown fault '" + phrase + "'");
    }
  }

  /** Ends all faults and applies the delayed writes. */
  public void heal() {
    tableServiceDown = false;
    answersLost = false;
    writesDelayed = false;
    Arrays.fill(paused, false);
    delayedWrites.forEach(Runnable::run);
    delayedWrites.clear();
  }

  /** Advances time by steps of 10 s. */
  public void runSteps(int steps) {
    for (int step = 0; step < steps && clock.instant().isBefore(expiry); step++) {
      double cap = Arrays.stream(machines).mapToDouble(LedgerStateMachine::cap).max().orElse(0);
      spentCredits += Math.min(SETTINGS.maximumRate(), cap) * STEP_DURATION.toSeconds();
      clock.advance(STEP_DURATION);
      for (int index = 0; index < machines.length; index++) {
        if (!paused[index]) {
          process(machines[index], new LedgerInput.Tick(OptionalLong.empty(), cap));
        }
      }
    }
  }

  /** Runs until the credits expire. */
  public void runUntilExpiry() {
    runSteps((int) (GRANT_VALIDITY.toSeconds() / STEP_DURATION.toSeconds()));
  }

  private LedgerStateMachine newMachine() {
    CreditGrant grant = new CreditGrant(GRANTED_CREDITS, expiry.minus(GRANT_VALIDITY), expiry);
    return new LedgerStateMachine(new CreditPacer(grant, SETTINGS), clock, random);
  }

  private void process(LedgerStateMachine machine, LedgerInput input) {
    for (LedgerAction action : machine.step(input)) {
      process(machine, execute(action));
    }
  }

  private LedgerInput execute(LedgerAction action) {
    if (tableServiceDown) {
      return new LedgerInput.Unanswered();
    }
    LedgerInput answer =
        switch (action) {
          case LedgerAction.Read() -> new LedgerInput.RowRead(latestRow);
          case LedgerAction.Write(LedgerRow row) -> write(row);
        };
    return answersLost ? new LedgerInput.Unanswered() : answer;
  }

  private LedgerInput write(LedgerRow row) {
    if (writesDelayed) {
      delayedWrites.add(() -> apply(row));
      return new LedgerInput.Unanswered();
    }
    return apply(row) ? new LedgerInput.Written() : new LedgerInput.Conflict();
  }

  private boolean apply(LedgerRow row) {
    if (row.sequence() != latestRow.map(LedgerRow::sequence).orElse(0L) + 1) {
      return false;
    }
    latestRow = Optional.of(row);
    writtenRows++;
    return true;
  }
}
