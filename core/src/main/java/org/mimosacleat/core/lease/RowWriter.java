package org.mimosacleat.core.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** Composes the rows that one VM writes for one group. */
final class RowWriter {
  private static final int LARGEST_CHANGE_OF_ENDPOINTS = 1;

  private final VmId self;
  private final GroupId group;
  private final Supplier<WriteId> writeIds;

  RowWriter(VmId self, GroupId group, Supplier<WriteId> writeIds) {
    this.self = self;
    this.group = group;
    this.writeIds = writeIds;
  }

  /** Returns the write by which this VM becomes the home, or confirms that it is. */
  PendingWrite takeOver(
      Optional<LeaseRow> known, Optional<Holding> holding, LeaseInput.Acquire acquire) {
    Set<EndpointId> endpoints = endpoints(known, holding, acquire.endpoints());
    FencingToken next = nextToken(known);
    Optional<FencingToken> standby =
        holding
            .map(Holding::token)
            .filter(token -> known.isPresent() && token.isAfter(known.get().token()))
            .filter(token -> known.get().nextToken().isAfter(token));
    FencingToken token = standby.orElse(next);
    FencingToken firstReserved = standby.isPresent() ? next : next.plus(1);
    LeaseRow row =
        new LeaseRow(
            group, self, token, firstReserved, acquire.successors(), endpoints, writeIds.get());
    return new PendingWrite(row, known);
  }

  /** Returns the write by which this VM makes another the home. */
  PendingWrite handOver(LeaseRow known, VmId to, List<VmId> successors) {
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
      Optional<LeaseRow> known, Optional<Holding> holding, Set<EndpointId> proposed) {
    if (known.isEmpty()) {
      return proposed;
    }
    Set<EndpointId> current = known.get().endpoints();
    boolean isHome = holding.filter(Holding::isEstablished).isPresent();
    return isHome && difference(current, proposed) <= LARGEST_CHANGE_OF_ENDPOINTS
        ? proposed
        : current;
  }

  private static int difference(Set<EndpointId> first, Set<EndpointId> second) {
    Set<EndpointId> all = new HashSet<>(first);
    all.addAll(second);
    Set<EndpointId> common = new HashSet<>(first);
    common.retainAll(second);
    return all.size() - common.size();
  }
}
