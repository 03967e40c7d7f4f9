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
 * Reserves credits in the ledger, one period after the other, and tells the cap in force.
 *
 * <p>Pass every event to {@link #step} and carry out the actions that it returns; at most one is
 * under way at a time. Pass a {@link LedgerInput.Tick} about once a second and hold the fleet's
 * spending to {@link #cap}. Several proxies may run a machine on the same ledger: one of them
 * writes each row, and the others take it over. Proxies also send each other the latest row that
 * they know, so that a proxy that starts while the store is away knows the cap. Not safe for
 * several threads.
 *
 * <p>Before a row is written the period before is settled: with what was spent if that is known,
 * else with all that could have been spent.
 */
public final class LedgerMachine {
  private static final Duration RETRY_BASE = Duration.ofSeconds(2);
  private static final Duration RETRY_LIMIT = Duration.ofMinutes(2);

  private final CreditPacer pacer;
  private final InstantSource clock;
  private final RandomGenerator random;
  private LedgerRow row;
  private LedgerRow attempt;
  private boolean busy;
  private int failures;
  private Instant notBefore;

  /** Starts knowing nothing of the ledger. */
  public LedgerMachine(CreditPacer pacer, InstantSource clock, RandomGenerator random) {
    this.pacer = pacer;
    this.clock = clock;
    this.random = random;
    this.notBefore = clock.instant();
  }

  /** Takes in one event and returns what to do. */
  public List<LedgerAction> step(LedgerInput input) {
    return switch (input) {
      case LedgerInput.Tick tick -> tick(tick);
      case LedgerInput.RowRead read -> rowRead(read.row());
      case LedgerInput.Heard heard -> heard(heard.row());
      case LedgerInput.Written written -> written();
      case LedgerInput.Conflict conflict -> read();
      case LedgerInput.Lost lost -> lost();
    };
  }

  /** Returns the cap in force, in microcredits a second; zero while no row is known. */
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
    if (busy || now.isBefore(notBefore) || !now.isBefore(pacer.grant().expiry())) {
      return List.of();
    }
    if (row == null || attempt != null) {
      return read();
    }
    if (now.isBefore(row.until())) {
      return List.of();
    }
    return write(nextRow(now, tick));
  }

  private List<LedgerAction> rowRead(Optional<LedgerRow> read) {
    busy = false;
    failures = 0;
    attempt = null;
    if (read.isEmpty()) {
      return row == null ? write(firstRow()) : List.of();
    }
    return heard(read.get());
  }

  private List<LedgerAction> heard(LedgerRow other) {
    boolean newer = row == null || other.sequence() > row.sequence();
    row = newer ? other : row;
    return List.of();
  }

  private List<LedgerAction> written() {
    busy = false;
    failures = 0;
    row = attempt;
    attempt = null;
    return List.of();
  }

  private List<LedgerAction> lost() {
    busy = false;
    failures++;
    long delay = RETRY_BASE.toMillis() << Math.min(failures, 10);
    long limited = Math.min(delay, RETRY_LIMIT.toMillis());
    notBefore = clock.instant().plusMillis(limited / 2 + random.nextLong(limited / 2 + 1));
    return List.of();
  }

  private List<LedgerAction> read() {
    busy = true;
    return List.of(new Read());
  }

  private List<LedgerAction> write(LedgerRow next) {
    busy = true;
    attempt = next;
    return List.of(new Write(next));
  }

  private LedgerRow firstRow() {
    return reserve(1, pacer.grant().microcredits(), DemandProfile.UNKNOWN);
  }

  private LedgerRow nextRow(Instant now, LedgerInput.Tick tick) {
    long settled = row.balance() + row.reserved() - spent(now, tick.spent());
    DemandProfile profile = row.profile().with(now, tick.demandRate());
    return reserve(row.sequence() + 1, Math.max(0, settled), profile);
  }

  private long spent(Instant now, OptionalLong known) {
    if (known.isPresent()) {
      return known.getAsLong();
    }
    double gap = CreditPacer.seconds(Duration.between(row.until(), now));
    double inGap = pacer.fallbackCap(row.balance(), row.until()) * gap;
    return row.reserved() + (long) Math.ceil(inGap);
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
