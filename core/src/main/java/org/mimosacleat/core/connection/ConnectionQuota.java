package org.mimosacleat.core.connection;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.check.Checks;

/**
 * Decides how many connections a home may have open to one endpoint, so that the whole fleet never
 * exceeds the endpoint's limit.
 *
 * <p>Report each new or renewed lease with {@link #updateLease}. Right after acquiring the lease,
 * and then about once per second, query the endpoint for the number of its open connections that do
 * not belong to this home, and pass the count to {@link #updateOtherConnections}. Before opening a
 * connection call {@link #tryBeginOpen}, and afterwards exactly one of {@link #opened}, {@link
 * #refused} and {@link #abandonedOpening}. For an open connection call {@link #closed} once the
 * endpoint has closed its side, or {@link #abandoned} if that is not known. Not thread-safe: used
 * only by the executor of one group.
 *
 * <p>No connection is opened before the first count, because connections of a previous home, even
 * of a dead one, stay open at the endpoint. No connection is opened within one open timeout before
 * the lease ends, so that a replaced home has no attempt in progress when its successor counts. A
 * margin of connections is left unused for attempts that a paused process completes late.
 */
public final class ConnectionQuota {
  private final int limit;
  private final int margin;
  private final Duration openTimeout;
  private final InstantSource clock;
  private final List<Instant> abandoned = new ArrayList<>();
  private Instant leaseStart = Instant.MAX;
  private Instant leaseEnd = Instant.MIN;
  private Instant lastCountAskedAt = Instant.MIN;
  private boolean othersCounted;
  private int otherConnections;
  private int opening;
  private int open;

  /**
   * Creates a quota without a lease.
   *
   * @param limit the number of connections that the endpoint allows the whole fleet
   * @param margin the number of connections left unused; also the maximum number of concurrent
   *     attempts to open one
   * @param openTimeout the time after which an attempt to open a connection is cancelled
   */
  public ConnectionQuota(int limit, int margin, Duration openTimeout, InstantSource clock) {
    this.margin = (int) Checks.positive("margin of connections", margin);
    this.limit = (int) Checks.atLeast("limit of connections", limit, margin + 1L);
    this.openTimeout = openTimeout;
    this.clock = clock;
  }

  /** Records a new or renewed lease; after a gap the endpoint must be queried again. */
  public void updateLease(Instant expiresAt) {
    Instant now = clock.instant();
    if (now.isAfter(leaseEnd)) {
      leaseStart = now;
      othersCounted = false;
    }
    leaseEnd = expiresAt;
  }

  /** Records that the lease was released; the next lease requires a new count. */
  public void leaseReleased() {
    leaseEnd = Instant.MIN;
    othersCounted = false;
  }

  /**
   * Records the endpoint's count of connections that are not among this home's open ones.
   *
   * @param askedAt when this home sent the query
   */
  public void updateOtherConnections(Instant askedAt, int count) {
    if (askedAt.isBefore(leaseStart) || askedAt.isBefore(lastCountAskedAt)) {
      return;
    }
    lastCountAskedAt = askedAt;
    othersCounted = true;
    otherConnections = count;
    abandoned.removeIf(at -> at.plus(openTimeout).isBefore(askedAt));
  }

  /** Reserves quota for a connection to be opened now; returns false if none may be opened. */
  public boolean tryBeginOpen() {
    if (available() == 0) {
      return false;
    }
    opening++;
    return true;
  }

  /** Returns how many connections may be opened now. */
  public int available() {
    boolean leaseOutlastsOpening = !clock.instant().plus(openTimeout).isAfter(leaseEnd);
    if (!othersCounted || !leaseOutlastsOpening) {
      return 0;
    }
    int free = limit - margin - otherConnections - open - opening - abandoned.size();
    return Math.max(0, Math.min(free, margin - opening));
  }

  /** Records that a connection was opened. */
  public void opened() {
    opening--;
    open++;
  }

  /** Records that the endpoint refused to open a connection. */
  public void refused() {
    opening--;
  }

  /** Records that an attempt was cancelled that may still succeed at the endpoint. */
  public void abandonedOpening() {
    opening--;
    abandoned.add(clock.instant());
  }

  /** Records that the endpoint has closed its side of a connection. */
  public void closed() {
    open--;
  }

  /** Records that a connection was dropped that may still be open at the endpoint. */
  public void abandoned() {
    open--;
    abandoned.add(clock.instant());
  }

  /** Returns the number of open connections. */
  public int open() {
    return open;
  }

  /** Returns the number of connections being opened. */
  public int opening() {
    return opening;
  }
}
