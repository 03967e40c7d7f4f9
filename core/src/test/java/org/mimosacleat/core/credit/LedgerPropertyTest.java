package org.mimosacleat.core.credit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.mimosacleat.core.time.PausedClock;

/**
 * Spends as much as the caps allow while two machines compete for the ledger, restart, lose
 * responses and cannot reach the store for hours.
 */
class LedgerPropertyTest {
  private static final Duration STEP = Duration.ofMinutes(1);
  private static final int STEPS = 2 * 24 * 60;
  private static final double EVEN_RATE = 1000;
  private static final PacingSettings SETTINGS =
      new PacingSettings(Duration.ofMinutes(10), 100, 6000, 0.005);

  /** The protocol, and faulty variants of it that the check must detect. */
  private enum Variant {
    CORRECT,
    UNKNOWN_SPENDING_COUNTS_AS_ZERO,
    LAST_CAP_STAYS_IN_FORCE_DURING_AN_OUTAGE
  }

  @Property(seed = "5005", tries = 100)
  void spendingNeverExceedsTheGrant(@ForAll long seed) {
    assertEquals("", new Run(seed, Variant.CORRECT).firstViolation());
  }

  @Example
  void checkDetectsEachFaultyVariant() {
    for (Variant variant : Variant.values()) {
      if (variant != Variant.CORRECT) {
        assertNotEquals("", anyViolation(variant), variant.name());
      }
    }
  }

  @Example
  void writeThatSucceededWithoutResponseIsNotDebitedTwice() {
    PausedClock clock = new PausedClock();
    LedgerStateMachine machine =
        new LedgerStateMachine(pacer(clock), clock, new SplittableRandom(1));
    machine.step(new LedgerInput.Tick(OptionalLong.empty(), 0));
    LedgerAction first = machine.step(new LedgerInput.RowRead(Optional.empty())).getFirst();
    final LedgerRow written = ((LedgerAction.Write) first).row();
    machine.step(new LedgerInput.Unanswered());
    clock.advance(Duration.ofMinutes(5));

    assertEquals(
        new LedgerAction.Read(),
        machine.step(new LedgerInput.Tick(OptionalLong.empty(), 0)).getFirst());
    assertTrue(machine.step(new LedgerInput.RowRead(Optional.of(written))).isEmpty());
    assertEquals(Optional.of(written), machine.row());
  }

  @Example
  void machineThatLosesTheWriteRaceAdoptsTheCapOfTheWinner() {
    PausedClock clock = new PausedClock();
    LedgerStateMachine loser = new LedgerStateMachine(pacer(clock), clock, new SplittableRandom(1));
    loser.step(new LedgerInput.Tick(OptionalLong.empty(), 0));
    loser.step(new LedgerInput.RowRead(Optional.empty()));
    assertEquals(0, loser.cap());
    loser.step(new LedgerInput.Conflict());
    Instant until = clock.instant().plusSeconds(600);
    LedgerRow winner =
        new LedgerRow(1, "other", clock.instant(), until, 6000, 100_000, DemandProfile.UNKNOWN);
    loser.step(new LedgerInput.RowRead(Optional.of(winner)));

    assertEquals(10, loser.cap(), 0.001);
  }

  @Example
  void proxyThatStartsWithoutTheStoreAdoptsTheCapOfAnotherProxy() {
    PausedClock clock = new PausedClock();
    LedgerStateMachine machine =
        new LedgerStateMachine(pacer(clock), clock, new SplittableRandom(1));
    Instant until = clock.instant().plusSeconds(600);
    LedgerRow latest =
        new LedgerRow(7, "other", clock.instant(), until, 6000, 100_000, DemandProfile.UNKNOWN);
    LedgerRow earlier =
        new LedgerRow(6, "other", clock.instant(), until, 9000, 100_000, DemandProfile.UNKNOWN);
    machine.step(new LedgerInput.RowReceived(latest));
    machine.step(new LedgerInput.RowReceived(earlier));

    assertEquals(10, machine.cap(), 0.001);
  }

  private static String anyViolation(Variant variant) {
    for (long seed = 1; seed <= 40; seed++) {
      String violation = new Run(seed, variant).firstViolation();
      if (!violation.isEmpty()) {
        return violation;
      }
    }
    return "";
  }

  private static CreditPacer pacer(PausedClock clock) {
    Instant start = clock.instant();
    Instant expiry = start.plus(STEP.multipliedBy(STEPS));
    long granted = (long) (EVEN_RATE * STEP.toSeconds() * STEPS);
    return new CreditPacer(new CreditGrant(granted, start, expiry), SETTINGS);
  }

  private static final class Run {
    private final SplittableRandom random;
    private final Variant variant;
    private final PausedClock clock = new PausedClock();
    private final CreditPacer pacer = pacer(clock);
    private final FakeLedger ledger;
    private final LedgerStateMachine[] machines = new LedgerStateMachine[2];
    private final double[] lastCaps = new double[2];
    private final Map<Instant, Double> spentAt = new HashMap<>();
    private final boolean outageUntilExpiry;
    private double spent;

    Run(long seed, Variant variant) {
      this.random = new SplittableRandom(seed);
      this.variant = variant;
      this.ledger = new FakeLedger(random.split());
      this.outageUntilExpiry = random.nextInt(3) == 0;
      this.spentAt.put(clock.instant(), 0.0);
      restart(0);
      restart(1);
    }

    private void restart(int index) {
      machines[index] = new LedgerStateMachine(pacer, clock, random.split());
    }

    String firstViolation() {
      for (int step = 0; step < STEPS; step++) {
        double demand = !ledger.down && random.nextInt(3) == 0 ? 0 : 6000;
        spent += Math.min(demand, cap()) * STEP.toSeconds();
        if (spent > pacer.grant().microcredits()) {
          return "overspent at step " + step;
        }
        clock.advance(STEP);
        spentAt.put(clock.instant(), spent);
        injectFaults(step);
        for (LedgerStateMachine machine : machines) {
          if (random.nextInt(3) > 0) {
            tick(machine, demand);
          }
        }
      }
      return "";
    }

    private double cap() {
      for (int index = 0; index < machines.length; index++) {
        boolean keepsLastCap =
            variant == Variant.LAST_CAP_STAYS_IN_FORCE_DURING_AN_OUTAGE && ledger.down;
        lastCaps[index] = keepsLastCap ? lastCaps[index] : machines[index].cap();
      }
      return Arrays.stream(lastCaps).max().orElse(0);
    }

    private void injectFaults(int step) {
      if (outageUntilExpiry && step > STEPS / 2) {
        ledger.down = true;
      } else if (random.nextInt(ledger.down ? 180 : 300) == 0) {
        ledger.down = !ledger.down;
      }
      if (random.nextInt(200) == 0) {
        restart(random.nextInt(2));
      }
      if (random.nextInt(20) == 0) {
        ledger.applyLateWrites();
      }
    }

    private void tick(LedgerStateMachine machine, double demand) {
      OptionalLong reportedSpending =
          random.nextBoolean() ? spentSinceRow(machine) : OptionalLong.empty();
      if (variant == Variant.UNKNOWN_SPENDING_COUNTS_AS_ZERO && reportedSpending.isEmpty()) {
        reportedSpending = OptionalLong.of(0);
      }
      var actions = machine.step(new LedgerInput.Tick(reportedSpending, demand));
      while (!actions.isEmpty()) {
        actions = machine.step(ledger.perform(actions.getFirst()));
      }
    }

    private OptionalLong spentSinceRow(LedgerStateMachine machine) {
      return machine.row().stream()
          .mapToLong(row -> (long) Math.ceil(spent - spentAt.get(row.from())))
          .findFirst();
    }
  }
}
