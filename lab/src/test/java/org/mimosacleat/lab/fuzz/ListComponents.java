package org.mimosacleat.lab.fuzz;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListRegistry;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.spread.ListUpdate;
import org.mimosacleat.core.spread.SpreadAction;
import org.mimosacleat.core.spread.SpreadInput;
import org.mimosacleat.core.spread.SpreadMachine;
import org.mimosacleat.core.spread.SpreadMessage;
import org.mimosacleat.core.spread.SpreadTimes;

/** Creates the list components of a proxy; a mutant overrides a production component. */
interface ListComponents {
  /** The production components. */
  ListComponents REAL = new ListComponents() {};

  /** Applies each list that is received, whatever its version. */
  ListComponents ACCEPTS_LOWER_VERSIONS =
      new ListComponents() {
        @Override
        public Gossip gossip(
            VmId vm, InstantSource clock, RandomGenerator random, SpreadTimes times) {
          Gossip real = REAL.gossip(vm, clock, random, times);
          return input -> {
            List<SpreadAction> actions = new ArrayList<>(real.step(input));
            fullLists(input).forEach(list -> actions.add(new SpreadAction.Apply(list, "received")));
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
            VmId vm, InstantSource clock, RandomGenerator random, SpreadTimes times) {
          Gossip real = REAL.gossip(vm, clock, random, times);
          return input -> input instanceof SpreadInput.Tick ? List.of() : real.step(input);
        }
      };

  /** Creates the gossip protocol of a proxy. */
  default Gossip gossip(VmId vm, InstantSource clock, RandomGenerator random, SpreadTimes times) {
    return new SpreadMachine(vm, clock, random, times)::step;
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
        return registry.inForce().version(kind).number();
      }
    };
  }

  /** Returns the full lists that an input carries. */
  private static List<PublishedList> fullLists(SpreadInput input) {
    return switch (input) {
      case SpreadInput.FromStore fromStore -> List.of(fromStore.list());
      case SpreadInput.Received(SpreadMessage.Updates updates) -> fullLists(updates.updates());
      case SpreadInput.Received(SpreadMessage.Announce announce) -> fullLists(announce.updates());
      default -> List.of();
    };
  }

  private static List<PublishedList> fullLists(List<ListUpdate> updates) {
    return updates.stream()
        .filter(ListUpdate.Whole.class::isInstance)
        .map(update -> ((ListUpdate.Whole) update).list())
        .toList();
  }

  /** The gossip protocol of a proxy. */
  interface Gossip {
    List<SpreadAction> step(SpreadInput input);
  }

  /** The lists in force on a proxy. */
  interface Registry {
    void offer(PublishedList list);

    long version(ListKind kind);
  }
}
