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
 * <p>Report each lease with {@link #leaseHeld} and ask the endpoint, right after taking the lease
 * and then about once a second, for the connections that it has open and that are not among this
 * home's own; pass the count to {@link #othersSeen}. Call {@link #tryBeginOpen} before each
 * opening, then exactly one of {@link #opened}, {@link #refused} and {@link #abandonedOpening}; for
 * an open connection call {@link #closed} once the endpoint has closed its side, or {@link
 * #abandoned} if that is not known. Not safe for several threads: one group's executor owns it.
 *
 * <p>Nothing is opened before the first count, since connections of an earlier home, also of a dead
 * one, stay open at the endpoint. Nothing is opened within one opening timeout of the lease's end,
 * so no opening of a replaced home is under way when the next one counts. Some connections are left
 * as a margin for openings that a paused process carries out late.
 */
public final class ConnectionQuota {
  private final int limit;
  private final int margin;
  private final Duration openTimeout;
  private final InstantSource clock;
  private final List<Instant> abandoned = new ArrayList<>();
  private Instant leaseStart = Instant.MAX;
  private Instant leaseEnd = Instant.MIN;
  private Instant lastAskedAt = Instant.MIN;
  private boolean counted;
  private int others;
  private int opening;
  private int open;

  /**
   * Starts without a lease.
   *
   * @param limit connections that the endpoint allows the fleet
   * @param margin connections left unused; also the most openings under way at once
   * @param openTimeout after which an opening is given up
   */
  public ConnectionQuota(int limit, int margin, Duration openTimeout, InstantSource clock) {
    this.margin = (int) Checks.positive("margin of connections", margin);
    this.limit = (int) Checks.atLeast("limit of connections", limit, margin + 1L);
    this.openTimeout = openTimeout;
    this.clock = clock;
  }

  /** Takes in a new or renewed lease; after a gap the endpoint has to be asked again. */
  public void leaseHeld(Instant until) {
    Instant now = clock.instant();
    if (now.isAfter(leaseEnd)) {
      leaseStart = now;
      counted = false;
    }
    leaseEnd = until;
  }

  /** Takes in that the lease was given up; a later one starts anew. */
  public void leaseReleased() {
    leaseEnd = Instant.MIN;
    counted = false;
  }

  /**
   * Takes in the endpoint's count of connections that are not among this home's open ones.
   *
   * @param askedAt when this home asked
   */
  public void othersSeen(Instant askedAt, int count) {
    if (askedAt.isBefore(leaseStart) || askedAt.isBefore(lastAskedAt)) {
      return;
    }
    lastAskedAt = askedAt;
    counted = true;
    others = count;
    abandoned.removeIf(at -> at.plus(openTimeout).isBefore(askedAt));
  }

  /** Reserves one connection to be opened now; returns false if none may be opened. */
  public boolean tryBeginOpen() {
    if (available() == 0) {
      return false;
    }
    opening++;
    return true;
  }

  /** Returns how many openings may begin now. */
  public int available() {
    boolean leaseLastsLongEnough = !clock.instant().plus(openTimeout).isAfter(leaseEnd);
    if (!counted || !leaseLastsLongEnough) {
      return 0;
    }
    int free = limit - margin - others - open - opening - abandoned.size();
    return Math.max(0, Math.min(free, margin - opening));
  }

  /** Takes in that an opening succeeded. */
  public void opened() {
    opening--;
    open++;
  }

  /** Takes in that the endpoint refused an opening, so that nothing is open. */
  public void refused() {
    opening--;
  }

  /** Takes in that an opening was given up and may yet succeed at the endpoint. */
  public void abandonedOpening() {
    opening--;
    abandoned.add(clock.instant());
  }

  /** Takes in that the endpoint has closed its side of a connection. */
  public void closed() {
    open--;
  }

  /** Takes in that a connection was dropped and the endpoint may still hold it open. */
  public void abandoned() {
    open--;
    abandoned.add(clock.instant());
  }

  /** Returns the connections that are open. */
  public int open() {
    return open;
  }

  /** Returns the openings under way. */
  public int opening() {
    return opening;
  }
}
