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
 * Two homes that race for the ledger, each restarted about once a day, with a store that is down
 * for six hours about once in five days.
 */
final class PacedFleet {
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration PERIOD = Duration.ofMinutes(10);
  private static final double HELD_BACK = 0.005;
  private static final int OUTAGE_EVERY = 5 * MonthOfDemand.MINUTES_A_DAY;
  private static final int OUTAGE_LENGTH = 6 * 60;

  private final SplittableRandom random;
  private final PausedClock clock = new PausedClock();
  private final CreditPacer pacer;
  private final LossyLedger ledger;
  private final LedgerStateMachine[] machines = new LedgerStateMachine[2];
  private final Map<Instant, Double> spentBy = new HashMap<>();
  private final Map<Instant, Double> wantedBy = new HashMap<>();
  private double spent;
  private double wanted;

  PacedFleet(long microcredits, long seed) {
    this.random = new SplittableRandom(seed);
    Instant start = clock.instant();
    CreditGrant grant =
        new CreditGrant(microcredits, start, start.plus(Duration.ofDays(MonthOfDemand.DAYS)));
    this.pacer =
        new CreditPacer(
            grant,
            new PacingSettings(
                PERIOD, MonthOfDemand.MINIMUM_RATE, MonthOfDemand.MAXIMUM_RATE, HELD_BACK));
    this.ledger = new LossyLedger(random.split());
    remember();
    restart(0);
    restart(1);
    tick();
  }

  /** Lives through one minute and returns the rate that was spent. */
  double minute(double demand) {
    double rate = Math.min(demand, cap());
    spent += rate * MINUTE.toSeconds();
    wanted += demand * MINUTE.toSeconds();
    clock.advance(MINUTE);
    remember();
    disturb();
    tick();
    return rate;
  }

  private double cap() {
    return Math.max(machines[0].cap(), machines[1].cap());
  }

  private void remember() {
    spentBy.put(clock.instant(), spent);
    wantedBy.put(clock.instant(), wanted);
  }

  private void restart(int index) {
    machines[index] = new LedgerStateMachine(pacer, clock, random.split());
  }

  private void disturb() {
    long minute = Duration.between(pacer.grant().start(), clock.instant()).toMinutes();
    ledger.setDown(minute % OUTAGE_EVERY > OUTAGE_EVERY - OUTAGE_LENGTH);
    for (int index = 0; index < machines.length; index++) {
      if (random.nextInt(MonthOfDemand.MINUTES_A_DAY) == 0) {
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
    double demand = seconds == 0 ? 0 : (wanted - wantedBy.get(row.from())) / seconds;
    long since = (long) Math.ceil(spent - spentBy.get(row.from()));
    return new LedgerInput.Tick(OptionalLong.of(since), demand);
  }
}
