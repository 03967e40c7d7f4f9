package org.mimosacleat.core.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** Creates the row writes of one VM for one group. */
final class LeaseRowFactory {
  private static final int MAX_ENDPOINT_CHANGES = 1;

  private final VmId self;
  private final GroupId group;
  private final Supplier<WriteId> writeIds;

  LeaseRowFactory(VmId self, GroupId group, Supplier<WriteId> writeIds) {
    this.self = self;
    this.group = group;
    this.writeIds = writeIds;
  }

  /**
   * Returns the write that makes this VM the home, or that records a takeover it made with its
   * reserved token while the table service was down.
   */
  PendingWrite takeoverWrite(
      Optional<LeaseRow> known, Optional<LeaseClaim> claim, LeaseInput.Acquire acquire) {
    Set<EndpointId> endpoints = endpoints(known, claim, acquire.endpoints());
    FencingToken next = nextToken(known);
    Optional<FencingToken> reservedToken =
        claim
            .map(LeaseClaim::token)
            .filter(token -> known.isPresent() && token.isAfter(known.get().token()))
            .filter(token -> known.get().nextToken().isAfter(token));
    FencingToken token = reservedToken.orElse(next);
    FencingToken firstReserved = reservedToken.isPresent() ? next : next.plus(1);
    LeaseRow row =
        new LeaseRow(
            group, self, token, firstReserved, acquire.successors(), endpoints, writeIds.get());
    return new PendingWrite(row, known);
  }

  /** Returns the write that makes another VM the home. */
  PendingWrite handoverWrite(LeaseRow known, VmId to, List<VmId> successors) {
    FencingToken token = known.nextToken();
    LeaseRow row =
        new LeaseRow(
            group, to, token, token.plus(1), successors, known.endpoints(), writeIds.get());
    return new PendingWrite(row, Optional.of(known));
  }

  private static FencingToken nextToken(Optional<LeaseRow> known) {
    return known.map(LeaseRow::nextToken).orElse(FencingToken.NONE.plus(1));
  }

  private static Set<EndpointId> endpoints(
      Optional<LeaseRow> known, Optional<LeaseClaim> claim, Set<EndpointId> proposed) {
    if (known.isEmpty()) {
      return proposed;
    }
    Set<EndpointId> current = known.get().endpoints();
    boolean isHome = claim.filter(LeaseClaim::isEstablished).isPresent();
    return isHome && differenceSize(current, proposed) <= MAX_ENDPOINT_CHANGES ? proposed : current;
  }

  private static int differenceSize(Set<EndpointId> first, Set<EndpointId> second) {
    Set<EndpointId> all = new HashSet<>(first);
    all.addAll(second);
    Set<EndpointId> common = new HashSet<>(first);
    common.retainAll(second);
    return all.size() - common.size();
  }
}
