package org.mimosacleat.serving.promotion;

import java.net.InetSocketAddress;
import java.util.List;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.serving.fleet.EndpointEntry;

/**
 * The log of one endpoint between two of its starts. An endpoint that starts again may have lost
 * its log, so it then has another copy.
 *
 * @param endpoint the endpoint
 * @param address the address that it listens on
 * @param startedAtMillis its start in milliseconds, by its own wall clock; zero if unknown
 * @param draining whether it was last known to be about to shut down, after which the next endpoint
 *     at its address has its log
 * @param successorStartedAtMillis the start of that endpoint; zero if none has been seen, or if it
 *     drains in its turn
 */
public record LogCopy(
    EndpointId endpoint,
    InetSocketAddress address,
    long startedAtMillis,
    boolean draining,
    long successorStartedAtMillis) {
  /** Checks the components. */
  public LogCopy {
    Checks.notNull("endpoint id", endpoint);
    Checks.notNull("address of " + endpoint, address);
    Checks.notNegative("start time of " + endpoint, startedAtMillis);
    Checks.notNegative("start time of the successor of " + endpoint, successorStartedAtMillis);
  }

  /** Returns the copy of an endpoint as it describes itself now. */
  static LogCopy of(EndpointEntry entry) {
    return new LogCopy(entry.id(), entry.address(), entry.startedAtMillis(), entry.draining(), 0);
  }

  /**
   * Returns whether both are the log of the same endpoint since the same start, at whatever address
   * a proxy reaches it.
   */
  boolean isSameAs(LogCopy other) {
    boolean isSameStart = startedAtMillis > 0 || address.equals(other.address);
    return endpoint.equals(other.endpoint)
        && startedAtMillis == other.startedAtMillis
        && isSameStart;
  }

  /** Returns this copy with what another proxy, or this one at another time, has seen of it. */
  LogCopy seenAs(LogCopy other) {
    long successor =
        successorStartedAtMillis > 0 ? successorStartedAtMillis : other.successorStartedAtMillis;
    return new LogCopy(endpoint, address, startedAtMillis, draining || other.draining, successor);
  }

  /**
   * Returns this copy, whose endpoint is no longer listed, with its successor if that is. One that
   * drains passes the log on in its turn, to an endpoint that has not been seen yet.
   */
  LogCopy succeededBy(List<LogCopy> listed) {
    return listed.stream()
        .filter(this::isPassedOnTo)
        .findFirst()
        .map(next -> next.draining ? 0 : next.startedAtMillis)
        .map(start -> new LogCopy(endpoint, address, startedAtMillis, true, start))
        .orElse(this);
  }

  /**
   * Returns whether an endpoint with another id at the address of this one has taken its log over.
   * A later start of that endpoint has lost it.
   */
  boolean isPassedOnTo(LogCopy other) {
    boolean isFirst =
        successorStartedAtMillis == 0 || successorStartedAtMillis == other.startedAtMillis;
    return draining && isFirst && address.equals(other.address) && !endpoint.equals(other.endpoint);
  }
}
