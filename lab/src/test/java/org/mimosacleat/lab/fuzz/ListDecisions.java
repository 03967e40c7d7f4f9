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

/** Makes the decisions on lists of a proxy; the defaults are the real ones. */
interface ListDecisions {
  /** The real decisions. */
  ListDecisions REAL = new ListDecisions() {};

  /** Takes whatever arrives last, whichever version it is. */
  ListDecisions ACCEPTS_LOWER_VERSIONS =
      new ListDecisions() {
        @Override
        public Spread spread(
            VmId vm, InstantSource clock, RandomGenerator random, SpreadTimes times) {
          Spread real = REAL.spread(vm, clock, random, times);
          return input -> {
            List<SpreadAction> actions = new ArrayList<>(real.step(input));
            whole(input).forEach(list -> actions.add(new SpreadAction.Apply(list, "arrived")));
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
            VmId vm, InstantSource clock, RandomGenerator random, SpreadTimes times) {
          Spread real = REAL.spread(vm, clock, random, times);
          return input -> input instanceof SpreadInput.Tick ? List.of() : real.step(input);
        }
      };

  /** Makes the spread of one proxy. */
  default Spread spread(VmId vm, InstantSource clock, RandomGenerator random, SpreadTimes times) {
    return new SpreadMachine(vm, clock, random, times)::step;
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
        return registry.inForce().version(kind).number();
      }
    };
  }

  /** Returns the whole lists that an input carries. */
  private static List<PublishedList> whole(SpreadInput input) {
    return switch (input) {
      case SpreadInput.FromStore fromStore -> List.of(fromStore.list());
      case SpreadInput.Received(SpreadMessage.Updates updates) -> whole(updates.updates());
      case SpreadInput.Received(SpreadMessage.Announce announce) -> whole(announce.updates());
      default -> List.of();
    };
  }

  private static List<PublishedList> whole(List<ListUpdate> updates) {
    return updates.stream()
        .filter(ListUpdate.Whole.class::isInstance)
        .map(update -> ((ListUpdate.Whole) update).list())
        .toList();
  }

  /** What spreads the lists. */
  interface Spread {
    List<SpreadAction> step(SpreadInput input);
  }

  /** What holds the lists in force. */
  interface Registry {
    void offer(PublishedList list);

    long version(ListKind kind);
  }
}
