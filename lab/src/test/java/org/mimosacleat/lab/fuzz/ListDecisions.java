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

/** Makes the decisions on lists of a proxy; the defaults are the real ones. */
interface ListDecisions {
  /** The real decisions. */
  ListDecisions REAL = new ListDecisions() {};

  /** Takes whatever arrives last, whichever version it is. */
  ListDecisions ACCEPTS_LOWER_VERSIONS =
      new ListDecisions() {
        @Override
        public Spread spread(
            VmId vm, InstantSource clock, RandomGenerator random, ListGossipParameters times) {
          Spread real = REAL.spread(vm, clock, random, times);
          return input -> {
            List<ListGossipAction> actions = new ArrayList<>(real.step(input));
            whole(input).forEach(list -> actions.add(new ListGossipAction.Apply(list, "arrived")));
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

  /** Tells its peers of changes once, and never compares versions or asks the store. */
  ListDecisions NEVER_COMPARES =
      new ListDecisions() {
        @Override
        public Spread spread(
            VmId vm, InstantSource clock, RandomGenerator random, ListGossipParameters times) {
          Spread real = REAL.spread(vm, clock, random, times);
          return input -> input instanceof ListGossipInput.Tick ? List.of() : real.step(input);
        }
      };

  /** Makes the spread of one proxy. */
  default Spread spread(
      VmId vm, InstantSource clock, RandomGenerator random, ListGossipParameters times) {
    return new ListGossipStateMachine(vm, clock, random, times)::step;
  }

  /** Makes what holds the lists in force. */
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

  /** Returns the whole lists that an input carries. */
  private static List<PublishedList> whole(ListGossipInput input) {
    return switch (input) {
      case ListGossipInput.ListReadFromStore fromStore -> List.of(fromStore.list());
      case ListGossipInput.Received(ListGossipMessage.Updates updates) -> whole(updates.updates());
      case ListGossipInput.Received(ListGossipMessage.Announce announce) ->
          whole(announce.updates());
      default -> List.of();
    };
  }

  private static List<PublishedList> whole(List<ListUpdate> updates) {
    return updates.stream()
        .filter(ListUpdate.Full.class::isInstance)
        .map(update -> ((ListUpdate.Full) update).list())
        .toList();
  }

  /** What spreads the lists. */
  interface Spread {
    List<ListGossipAction> step(ListGossipInput input);
  }

  /** What holds the lists in force. */
  interface Registry {
    void offer(PublishedList list);

    long version(ListKind kind);
  }
}
