package org.mimosacleat.lab.measure.credit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.mimosacleat.core.credit.CreditGrant;
import org.mimosacleat.core.credit.CreditPacer;
import org.mimosacleat.core.credit.LedgerAction;
import org.mimosacleat.core.credit.LedgerInput;
import org.mimosacleat.core.credit.LedgerRow;
import org.mimosacleat.core.credit.LedgerStateMachine;
import org.mimosacleat.core.credit.PacingSettings;
import org.mimosacleat.core.time.PausedClock;

/**
 * Simulates two homes that compete for the ledger. Each restarts about once a day, and the store is
 * unavailable for six hours every five days.
 */
final class PacedFleet {
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration PERIOD = Duration.ofMinutes(10);
  private static final double SAFETY_MARGIN = 0.005;
  private static final int OUTAGE_INTERVAL_MINUTES = 5 * MonthlyDemand.MINUTES_PER_DAY;
  private static final int OUTAGE_MINUTES = 6 * 60;

  private final SplittableRandom random;
  private final PausedClock clock = new PausedClock();
  private final CreditPacer pacer;
  private final LossyLedger ledger;
  private final LedgerStateMachine[] machines = new LedgerStateMachine[2];
  private final Map<Instant, Double> spentAt = new HashMap<>();
  private final Map<Instant, Double> demandedAt = new HashMap<>();
  private double spent;
  private double demanded;

  PacedFleet(long microcredits, long seed) {
    this.random = new SplittableRandom(seed);
    Instant start = clock.instant();
    CreditGrant grant =
        new CreditGrant(microcredits, start, start.plus(Duration.ofDays(MonthlyDemand.DAYS)));
    this.pacer =
        new CreditPacer(
            grant,
            new PacingSettings(
                PERIOD, MonthlyDemand.MIN_RATE, MonthlyDemand.MAX_RATE, SAFETY_MARGIN));
    this.ledger = new LossyLedger(random.split());
    recordTotals();
    restart(0);
    restart(1);
    tick();
  }

  /** Simulates one minute and returns the rate that was spent, in microcredits per second. */
  double runMinute(double demand) {
    double rate = Math.min(demand, cap());
    spent += rate * MINUTE.toSeconds();
    demanded += demand * MINUTE.toSeconds();
    clock.advance(MINUTE);
    recordTotals();
    injectFaults();
    tick();
    return rate;
  }

  private double cap() {
    return Math.max(machines[0].cap(), machines[1].cap());
  }

  private void recordTotals() {
    spentAt.put(clock.instant(), spent);
    demandedAt.put(clock.instant(), demanded);
  }

  private void restart(int index) {
    machines[index] = new LedgerStateMachine(pacer, clock, random.split());
  }

  private void injectFaults() {
    long minute = Duration.between(pacer.grant().start(), clock.instant()).toMinutes();
    ledger.setDown(minute % OUTAGE_INTERVAL_MINUTES > OUTAGE_INTERVAL_MINUTES - OUTAGE_MINUTES);
    for (int index = 0; index < machines.length; index++) {
      if (random.nextInt(MonthlyDemand.MINUTES_PER_DAY) == 0) {
        restart(index);
        LedgerStateMachine other = machines[1 - index];
        LedgerStateMachine restarted = machines[index];
        other.row().ifPresent(row -> restarted.step(new LedgerInput.RowReceived(row)));
      }
    }
  }

  private void tick() {
    for (LedgerStateMachine machine : machines) {
      LedgerInput input = tickOf(machine);
      List<LedgerAction> actions = machine.step(input);
      while (!actions.isEmpty()) {
        actions = machine.step(ledger.perform(actions.getFirst()));
      }
    }
  }

  private LedgerInput tickOf(LedgerStateMachine machine) {
    if (machine.row().isEmpty()) {
      return new LedgerInput.Tick(OptionalLong.empty(), 0);
    }
    LedgerRow row = machine.row().get();
    double seconds = Duration.between(row.from(), clock.instant()).toSeconds();
    double demand = seconds == 0 ? 0 : (demanded - demandedAt.get(row.from())) / seconds;
    long since = (long) Math.ceil(spent - spentAt.get(row.from()));
    return new LedgerInput.Tick(OptionalLong.of(since), demand);
  }
}
