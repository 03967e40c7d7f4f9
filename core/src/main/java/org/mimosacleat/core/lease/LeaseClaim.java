package org.mimosacleat.core.lease;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/**
 * The claim of a VM to the lease under one token: collects the confirmations of the endpoints and
 * derives the rights of the VM from them.
 */
final class LeaseClaim {
  private final FencingToken token;
  private final Set<EndpointId> endpoints;
  private final Set<EndpointId> earlierEndpoints;
  private final FencingToken expiredThrough;
  private final TokenConfirmations confirmations = new TokenConfirmations();
  private boolean mustWaitForEarlierHolder;
  private Optional<Instant> earlierHoldersExpireAt = Optional.empty();

  /**
   * Creates a claim without confirmations.
   *
   * @param expiredThrough the leases of all holders up to this token are known to have expired
   */
  LeaseClaim(
      FencingToken token,
      Set<EndpointId> endpoints,
      Set<EndpointId> earlierEndpoints,
      FencingToken expiredThrough) {
    this.token = token;
    this.endpoints = endpoints;
    this.earlierEndpoints = earlierEndpoints;
    this.expiredThrough = expiredThrough;
  }

  FencingToken token() {
    return token;
  }

  Set<EndpointId> endpoints() {
    return endpoints;
  }

  /** Returns the endpoints that have to be asked to confirm the token. */
  Set<EndpointId> endpointsToFence() {
    Set<EndpointId> all = new java.util.TreeSet<>(endpoints);
    if (earlierHoldersExpireAt.isEmpty()) {
      all.addAll(earlierEndpoints);
    }
    return all;
  }

  void addConfirmation(LeaseInput.FenceAnswered answer, Instant now, LeaseTimes times) {
    confirmations.add(answer.endpoint(), answer.sentAt());
    if (earlierHoldersExpireAt.isEmpty() && answer.previous().isAfter(expiredThrough)) {
      mustWaitForEarlierHolder = true;
    }
    if (earlierHoldersExpireAt.isEmpty() && hasMajorities()) {
      earlierHoldersExpireAt =
          Optional.of(mustWaitForEarlierHolder ? now.plus(times.duration()) : now);
    }
  }

  /**
   * Returns the token up to which all holders are known to have no rights once this VM has given up
   * its own.
   */
  FencingToken expiredThroughOnRelease(Instant now) {
    boolean earlierHoldersExpired =
        earlierHoldersExpireAt.filter(from -> !now.isBefore(from)).isPresent();
    return earlierHoldersExpired ? token : FencingToken.NONE;
  }

  /** Returns whether a majority has ever confirmed the token. */
  boolean isEstablished() {
    return earlierHoldersExpireAt.isPresent();
  }

  LeaseRights rights(LeaseTimes times) {
    Optional<Instant> sentAt = confirmations.majoritySentAt(endpoints);
    if (earlierHoldersExpireAt.isEmpty() || sentAt.isEmpty()) {
      return LeaseRights.NONE;
    }
    Instant expiresAt = sentAt.get().plus(times.duration()).minus(times.safetyMargin());
    return new LeaseRights(
        token, expiresAt, earlierHoldersExpireAt.get(), confirmations.endpoints());
  }

  private boolean hasMajorities() {
    return confirmations.majoritySentAt(endpoints).isPresent()
        && (earlierEndpoints.isEmpty()
            || confirmations.majoritySentAt(earlierEndpoints).isPresent());
  }
}
