package org.mimosacleat.lab.fuzz;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.gossip.ListGossipAction;
import org.mimosacleat.core.gossip.ListGossipInput;
import org.mimosacleat.core.gossip.ListGossipMessage;
import org.mimosacleat.core.gossip.ListGossipParameters;
import org.mimosacleat.core.gossip.ListGossipStateMachine;
import org.mimosacleat.core.gossip.ListUpdate;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListRegistry;
import org.mimosacleat.core.lists.PublishedList;

/** Creates the list components of a proxy; a mutant overrides a production component. */
interface ListComponents {
  /** The production components. */
  ListComponents REAL = new ListComponents() {};

  /** Applies each list that is received, whatever its version. */
  ListComponents ACCEPTS_LOWER_VERSIONS =
      new ListComponents() {
        @Override
        public Gossip gossip(
            VmId vm, InstantSource clock, RandomGenerator random, ListGossipParameters parameters) {
          Gossip real = REAL.gossip(vm, clock, random, parameters);
          return input -> {
            List<ListGossipAction> actions = new ArrayList<>(real.step(input));
            fullLists(input)
                .forEach(list -> actions.add(new ListGossipAction.Apply(list, "received")));
            return actions;
          };
        }

        @Override
        public Registry registry() {
          Map<ListKind, Long> versions = new HashMap<>();
          return new Registry() {
            @Override
            public void offer(PublishedList list) {
              versions.put(list.kind(), list.version().number());
            }

            @Override
            public long version(ListKind kind) {
              return versions.getOrDefault(kind, 0L);
            }
          };
        }
      };

  /** Announces each change to its peers once, and never compares versions or queries the store. */
  ListComponents NEVER_COMPARES =
      new ListComponents() {
        @Override
        public Gossip gossip(
            VmId vm, InstantSource clock, RandomGenerator random, ListGossipParameters parameters) {
          Gossip real = REAL.gossip(vm, clock, random, parameters);
          return input -> input instanceof ListGossipInput.Tick ? List.of() : real.step(input);
        }
      };

  /** Creates the gossip protocol of a proxy. */
  default Gossip gossip(
      VmId vm, InstantSource clock, RandomGenerator random, ListGossipParameters parameters) {
    return new ListGossipStateMachine(vm, clock, random, parameters)::step;
  }

  /** Creates the registry of the lists in force. */
  default Registry registry() {
    ListRegistry registry = new ListRegistry();
    return new Registry() {
      @Override
      public void offer(PublishedList list) {
        registry.offer(list);
      }

      @Override
      public long version(ListKind kind) {
        return registry.activeLists().version(kind).number();
      }
    };
  }

  /** Returns the full lists that an input carries. */
  private static List<PublishedList> fullLists(ListGossipInput input) {
    return switch (input) {
      case ListGossipInput.ListReadFromStore fromStore -> List.of(fromStore.list());
      case ListGossipInput.Received(ListGossipMessage.Updates updates) ->
          fullLists(updates.updates());
      case ListGossipInput.Received(ListGossipMessage.Announce announce) ->
          fullLists(announce.updates());
      default -> List.of();
    };
  }

  private static List<PublishedList> fullLists(List<ListUpdate> updates) {
    return updates.stream()
        .filter(ListUpdate.Full.class::isInstance)
        .map(update -> ((ListUpdate.Full) update).list())
        .toList();
  }

  /** The gossip protocol of a proxy. */
  interface Gossip {
    List<ListGossipAction> step(ListGossipInput input);
  }

  /** The lists in force on a proxy. */
  interface Registry {
    void offer(PublishedList list);

    long version(ListKind kind);
  }
}
