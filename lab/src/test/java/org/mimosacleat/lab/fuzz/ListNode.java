package org.mimosacleat.lab.fuzz;

import org.mimosacleat.core.gossip.ListGossipInput;
import org.mimosacleat.core.gossip.ListGossipParameters;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.PublishedList;

/** The lists of one proxy: what it spreads, and what it has in force. */
final class ListNode {
  private final VmId vm;
  private final ListWorld world;
  private final ListDecisions.Spread spread;
  private final ListDecisions.Registry registry;

  ListNode(VmId vm, ListWorld world, ListDecisions decisions, ListGossipParameters times) {
    this.vm = vm;
    this.world = world;
    this.spread = decisions.spread(vm, world.clock(), world.random(), times);
    this.registry = decisions.registry();
  }

  VmId vm() {
    return vm;
  }

  long version(ListKind kind) {
    return registry.version(kind);
  }

  void step(ListGossipInput input) {
    spread.step(input).forEach(action -> world.carryOut(this, action));
  }

  void apply(PublishedList list) {
    registry.offer(list);
    world.inForce(vm, list.kind(), registry.version(list.kind()));
  }
}
