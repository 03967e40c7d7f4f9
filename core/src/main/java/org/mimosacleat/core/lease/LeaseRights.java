package org.mimosacleat.core.lease;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/**
 * What this VM may do as the home of a group: an immutable snapshot, used while a request is
 * processed. Check it with the current time before each statement is sent and before each write is
 * acknowledged.
 *
 * @param token the fencing token of the VM
 * @param expiresAt the time at which all rights expire unless they are renewed
 * @param earlierHoldersExpiredAt the time from which no earlier holder has any rights; until then
 *     an earlier holder may still serve reads, and acknowledge writes that ran before it was fenced
 * @param fencedEndpoints the endpoints that accepted the token; connections may be opened only to
 *     these
 */
public record LeaseRights(
    FencingToken token,
    Instant expiresAt,
    Instant earlierHoldersExpiredAt,
    Set<EndpointId> fencedEndpoints) {
  /** No rights. */
  public static final LeaseRights NONE =
      new LeaseRights(FencingToken.NONE, Instant.MIN, Instant.MAX, Set.of());

  /** Checks the components. */
  public LeaseRights {
    fencedEndpoints = Set.copyOf(fencedEndpoints);
  }

  /** Returns whether the VM is the home at {@code now}. */
  public boolean isHome(Instant now) {
    return now.isBefore(expiresAt);
  }

  /**
   * Returns whether reads may be served at {@code now}. Once the primary is fenced, its log
   * position covers every write that an earlier holder can still acknowledge. If the primary is not
   * fenced, reads have to wait until no earlier holder has rights.
   *
   * @param primary the primary, if the group has one
   * @param now the time by this VM's clock
   */
  public boolean canRead(Optional<EndpointId> primary, Instant now) {
    boolean isPrimaryFenced = primary.filter(fencedEndpoints::contains).isPresent();
    return isHome(now) && (isPrimaryFenced || !now.isBefore(earlierHoldersExpiredAt));
  }

  /** Returns whether writes may be sent to {@code primary} and acknowledged at {@code now}. */
  public boolean canWrite(EndpointId primary, Instant now) {
    return canConnect(primary, now) && !now.isBefore(earlierHoldersExpiredAt);
  }

  /** Returns whether a connection to {@code endpoint} may be opened and used at {@code now}. */
  public boolean canConnect(EndpointId endpoint, Instant now) {
    return isHome(now) && fencedEndpoints.contains(endpoint);
  }
}
