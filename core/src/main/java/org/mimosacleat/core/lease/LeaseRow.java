package org.mimosacleat.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/**
 * The row of one group in the table service. It is written only when the home, its successors or
 * the endpoints change. Each write is conditional on the id of the previous write, and tokens only
 * increase.
 *
 * @param group the group
 * @param holder the home
 * @param token the fencing token of the holder
 * @param firstReserved the token of the first successor; the other successors have the following
 *     tokens, in list order
 * @param successors VMs that may take over while the table service is down
 * @param endpoints the endpoints of the group, a majority of which must confirm a token
 * @param writeId the id of the write that produced this row
 */
public record LeaseRow(
    GroupId group,
    VmId holder,
    FencingToken token,
    FencingToken firstReserved,
    List<VmId> successors,
    Set<EndpointId> endpoints,
    WriteId writeId) {
  /** Checks the components. */
  public LeaseRow {
    Checks.notNull("group id", group);
    Checks.notNull("holder", holder);
    Checks.atLeast("first reserved token", firstReserved.number(), token.number() + 1);
    successors = List.copyOf(successors);
    endpoints = Set.copyOf(endpoints);
    Checks.notNull("write id", writeId);
  }

  /** Returns the lowest token that neither this row nor an earlier one assigned or reserved. */
  public FencingToken nextToken() {
    return firstReserved.plus(successors.size());
  }

  /** Returns the token that is reserved for {@code vm}, if it is a successor. */
  public Optional<FencingToken> reservedFor(VmId vm) {
    int index = successors.indexOf(vm);
    return index < 0 ? Optional.empty() : Optional.of(firstReserved.plus(index));
  }
}
