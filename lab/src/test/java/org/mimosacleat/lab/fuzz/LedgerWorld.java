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

/** Two proxies that debit one ledger while the fleet spends as much as the caps allow. */
public final class LedgerWorld {
  private static final Duration STEP = Duration.ofSeconds(10);
  private static final Duration VALIDITY = Duration.ofHours(2);
  private static final long GRANTED = 7_200_000;
  private static final PacingSettings SETTINGS =
      new PacingSettings(Duration.ofMinutes(10), 100, 6000, 0.005);

  private final PausedClock clock = new PausedClock();
  private final Random random = new Random(1);
  private final Instant expiry = clock.instant().plus(VALIDITY);
  private final LedgerStateMachine[] machines = {machine(), machine()};
  private final boolean[] asleep = new boolean[machines.length];
  private final List<Runnable> late = new ArrayList<>();
  private Optional<LedgerRow> latest = Optional.empty();
  private boolean down;
  private boolean answersLost;
  private boolean writesLate;
  private double spent;
  private int rows;

  /** Returns how many rows were written. */
  public int rows() {
    return rows;
  }

  /** Returns whether no more was spent than granted. */
  public boolean isWithinGrant() {
    return spent <= GRANTED;
  }

  /** Applies a fault by its words. */
  public void fault(String words) {
    switch (words) {
      case "the table service is down" -> down = true;
      case "the answers of the table service are lost" -> answersLost = true;
      case "a write takes effect late" -> writesLate = true;
      case "the proxy that debits dies" -> machines[0] = machine();
      case "the proxy that debits pauses" -> asleep[0] = true;
      case "both proxies die" -> Arrays.setAll(machines, unused -> machine());
      default -> throw new IllegalArgumentException("unknown fault '" + words + "'");
    }
  }

  /** Ends all faults; what was on its way takes effect. */
  public void heal() {
    down = false;
    answersLost = false;
    writesLate = false;
    Arrays.fill(asleep, false);
    late.forEach(Runnable::run);
    late.clear();
  }

  /** Lets time pass in steps of ten seconds. */
  public void run(int steps) {
    for (int step = 0; step < steps && clock.instant().isBefore(expiry); step++) {
      double cap = Arrays.stream(machines).mapToDouble(LedgerStateMachine::cap).max().orElse(0);
      spent += Math.min(SETTINGS.maximumRate(), cap) * STEP.toSeconds();
      clock.advance(STEP);
      for (int index = 0; index < machines.length; index++) {
        if (!asleep[index]) {
          feed(machines[index], new LedgerInput.Tick(OptionalLong.empty(), cap));
        }
      }
    }
  }

  /** Runs until the credits expire. */
  public void runUntilExpiry() {
    run((int) (VALIDITY.toSeconds() / STEP.toSeconds()));
  }

  private LedgerStateMachine machine() {
    CreditGrant grant = new CreditGrant(GRANTED, expiry.minus(VALIDITY), expiry);
    return new LedgerStateMachine(new CreditPacer(grant, SETTINGS), clock, random);
  }

  private void feed(LedgerStateMachine machine, LedgerInput input) {
    for (LedgerAction action : machine.step(input)) {
      feed(machine, answer(action));
    }
  }

  private LedgerInput answer(LedgerAction action) {
    if (down) {
      return new LedgerInput.Unanswered();
    }
    LedgerInput answer =
        switch (action) {
          case LedgerAction.Read() -> new LedgerInput.RowRead(latest);
          case LedgerAction.Write(LedgerRow row) -> write(row);
        };
    return answersLost ? new LedgerInput.Unanswered() : answer;
  }

  private LedgerInput write(LedgerRow row) {
    if (writesLate) {
      late.add(() -> apply(row));
      return new LedgerInput.Unanswered();
    }
    return apply(row) ? new LedgerInput.Written() : new LedgerInput.Conflict();
  }

  private boolean apply(LedgerRow row) {
    if (row.sequence() != latest.map(LedgerRow::sequence).orElse(0L) + 1) {
      return false;
    }
    latest = Optional.of(row);
    rows++;
    return true;
  }
}
