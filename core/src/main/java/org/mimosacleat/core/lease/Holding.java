package org.mimosacleat.core.lease;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/**
 * The state of a VM that acts, or is about to act, under a token: it collects confirmations and
 * works out the rights.
 */
final class Holding {
  private final FencingToken token;
  private final Set<EndpointId> endpoints;
  private final Set<EndpointId> earlierEndpoints;
  private final FencingToken ceased;
  private final Confirmations confirmations = new Confirmations();
  private boolean waitsForEarlierHolder;
  private Optional<Instant> earlierCeasedFrom = Optional.empty();

  /** Starts without confirmations; holders up to {@code ceased} are known to have ceased. */
  Holding(
      FencingToken token,
      Set<EndpointId> endpoints,
      Set<EndpointId> earlierEndpoints,
      FencingToken ceased) {
    this.token = token;
    this.endpoints = endpoints;
    this.earlierEndpoints = earlierEndpoints;
    this.ceased = ceased;
  }

  FencingToken token() {
    return token;
  }

  Set<EndpointId> endpoints() {
    return endpoints;
  }

  /** Returns all endpoints that have to be asked. */
  Set<EndpointId> electorate() {
    Set<EndpointId> all = new java.util.TreeSet<>(endpoints);
    if (earlierCeasedFrom.isEmpty()) {
      all.addAll(earlierEndpoints);
    }
    return all;
  }

  void confirm(LeaseInput.FenceAnswered answer, Instant now, LeaseTimes times) {
    confirmations.add(answer.endpoint(), answer.sentAt());
    if (earlierCeasedFrom.isEmpty() && answer.previous().isAfter(ceased)) {
      waitsForEarlierHolder = true;
    }
    if (earlierCeasedFrom.isEmpty() && hasMajorities()) {
      earlierCeasedFrom = Optional.of(waitsForEarlierHolder ? now.plus(times.duration()) : now);
    }
  }

  /** Returns the token up to which all holders are known to have ceased once this one has. */
  FencingToken ceasedWithThis(Instant now) {
    boolean earlierCeased = earlierCeasedFrom.filter(from -> !now.isBefore(from)).isPresent();
    return earlierCeased ? token : FencingToken.NONE;
  }

  /** Returns whether a majority confirmed at any time. */
  boolean isEstablished() {
    return earlierCeasedFrom.isPresent();
  }

  LeaseRights rights(LeaseTimes times) {
    Optional<Instant> asked = confirmations.majorityAskedAt(endpoints);
    if (earlierCeasedFrom.isEmpty() || asked.isEmpty()) {
      return LeaseRights.NONE;
    }
    Instant until = asked.get().plus(times.duration()).minus(times.margin());
    return new LeaseRights(token, until, earlierCeasedFrom.get(), confirmations.endpoints());
  }

  private boolean hasMajorities() {
    return confirmations.majorityAskedAt(endpoints).isPresent()
        && (earlierEndpoints.isEmpty()
            || confirmations.majorityAskedAt(earlierEndpoints).isPresent());
  }
}
