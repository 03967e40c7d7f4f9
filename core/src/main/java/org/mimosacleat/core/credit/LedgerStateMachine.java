package org.mimosacleat.core.credit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.credit.LedgerAction.Read;
import org.mimosacleat.core.credit.LedgerAction.Write;

/**
 * A state machine that reserves credits in the ledger, period by period, and provides the cap in
 * force.
 *
 * <p>Pass every event to {@link #step} and perform the returned actions; at most one action is in
 * progress at a time. Pass a {@link LedgerInput.Tick} about once per second and limit the fleet's
 * spending to {@link #cap}. Several proxies may run a machine on the same ledger: one of them
 * writes each row, and the others adopt it. Proxies also send each other the latest row that they
 * know, so that a proxy that starts while the store is unreachable knows the cap. Not thread-safe.
 *
 * <p>Writing a row settles the previous period: with the amount spent if it is known, otherwise
 * with the maximum that could have been spent.
 */
public final class LedgerStateMachine {
  private static final Duration RETRY_BASE_DELAY = Duration.ofSeconds(2);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMinutes(2);

  private final CreditPacer pacer;
  private final InstantSource clock;
  private final RandomGenerator random;
  private LedgerRow row;
  private LedgerRow pendingRow;
  private boolean requestPending;
  private int consecutiveFailures;
  private Instant nextRequestAt;

  /** Creates a machine without any known row. */
  public LedgerStateMachine(CreditPacer pacer, InstantSource clock, RandomGenerator random) {
    this.pacer = pacer;
    this.clock = clock;
    this.random = random;
    this.nextRequestAt = clock.instant();
  }

  /** Processes one event and returns the actions to perform. */
  public List<LedgerAction> step(LedgerInput input) {
    return switch (input) {
      case LedgerInput.Tick tick -> tick(tick);
      case LedgerInput.RowRead read -> rowRead(read.row());
      case LedgerInput.RowReceived received -> adoptIfNewer(received.row());
      case LedgerInput.Written written -> written();
      case LedgerInput.Conflict conflict -> read();
      case LedgerInput.Unanswered lost -> unanswered();
    };
  }

  /** Returns the cap in force, in microcredits per second; zero while no row is known. */
  public double cap() {
    if (row == null) {
      return 0;
    }
    if (clock.instant().isBefore(row.until())) {
      return row.reserved() / CreditPacer.seconds(Duration.between(row.from(), row.until()));
    }
    return pacer.fallbackCap(row.balance(), row.until());
  }

  /** Returns the latest row known. */
  public Optional<LedgerRow> row() {
    return Optional.ofNullable(row);
  }

  private List<LedgerAction> tick(LedgerInput.Tick tick) {
    Instant now = clock.instant();
    if (requestPending || now.isBefore(nextRequestAt) || !now.isBefore(pacer.grant().expiry())) {
      return List.of();
    }
    if (row == null || pendingRow != null) {
      return read();
    }
    if (now.isBefore(row.until())) {
      return List.of();
    }
    return write(nextRow(now, tick));
  }

  private List<LedgerAction> rowRead(Optional<LedgerRow> read) {
    requestPending = false;
    consecutiveFailures = 0;
    pendingRow = null;
    if (read.isEmpty()) {
      return row == null ? write(firstRow()) : List.of();
    }
    return adoptIfNewer(read.get());
  }

  private List<LedgerAction> adoptIfNewer(LedgerRow other) {
    boolean newer = row == null || other.sequence() > row.sequence();
    row = newer ? other : row;
    return List.of();
  }

  private List<LedgerAction> written() {
    requestPending = false;
    consecutiveFailures = 0;
    row = pendingRow;
    pendingRow = null;
    return List.of();
  }

  private List<LedgerAction> unanswered() {
    requestPending = false;
    consecutiveFailures++;
    long delay = RETRY_BASE_DELAY.toMillis() << Math.min(consecutiveFailures, 10);
    long limitedDelay = Math.min(delay, MAX_RETRY_DELAY.toMillis());
    nextRequestAt =
        clock.instant().plusMillis(limitedDelay / 2 + random.nextLong(limitedDelay / 2 + 1));
    return List.of();
  }

  private List<LedgerAction> read() {
    requestPending = true;
    return List.of(new Read());
  }

  private List<LedgerAction> write(LedgerRow next) {
    requestPending = true;
    pendingRow = next;
    return List.of(new Write(next));
  }

  private LedgerRow firstRow() {
    return reserve(1, pacer.grant().microcredits(), DemandProfile.UNKNOWN);
  }

  private LedgerRow nextRow(Instant now, LedgerInput.Tick tick) {
    long settledBalance = row.balance() + row.reserved() - spent(now, tick.spent());
    DemandProfile profile = row.profile().withSample(now, tick.demandRate());
    return reserve(row.sequence() + 1, Math.max(0, settledBalance), profile);
  }

  private long spent(Instant now, OptionalLong known) {
    if (known.isPresent()) {
      return known.getAsLong();
    }
    double secondsWithoutRow = CreditPacer.seconds(Duration.between(row.until(), now));
    double spentWithoutRow = pacer.fallbackCap(row.balance(), row.until()) * secondsWithoutRow;
    return row.reserved() + (long) Math.ceil(spentWithoutRow);
  }

  private LedgerRow reserve(long sequence, long balance, DemandProfile profile) {
    Instant now = clock.instant();
    Instant until = pacer.endOfPeriod(now);
    double seconds = CreditPacer.seconds(Duration.between(now, until));
    long reserved = Math.min(balance, (long) (pacer.cap(balance, now, profile) * seconds));
    String writeId = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    return new LedgerRow(sequence, writeId, now, until, reserved, balance - reserved, profile);
  }
}
