package org.mimosacleat.lab.fuzz;

import org.mimosacleat.core.gossip.ListGossipInput;
import org.mimosacleat.core.gossip.ListGossipParameters;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.PublishedList;

/** The list components of one proxy: the gossip protocol and the lists in force. */
final class SimulatedListProxy {
  private final VmId vm;
  private final ListSimulation simulation;
  private final ListComponents.Gossip gossip;
  private final ListComponents.Registry registry;

  SimulatedListProxy(
      VmId vm,
      ListSimulation simulation,
      ListComponents components,
      ListGossipParameters parameters) {
    this.vm = vm;
    this.simulation = simulation;
    this.gossip = components.gossip(vm, simulation.clock(), simulation.random(), parameters);
    this.registry = components.registry();
  }

  VmId vm() {
    return vm;
  }

  long version(ListKind kind) {
    return registry.version(kind);
  }

  void step(ListGossipInput input) {
    gossip.step(input).forEach(action -> simulation.execute(this, action));
  }

  void apply(PublishedList list) {
    registry.offer(list);
    simulation.recordApplied(vm, list.kind(), registry.version(list.kind()));
  }
}
