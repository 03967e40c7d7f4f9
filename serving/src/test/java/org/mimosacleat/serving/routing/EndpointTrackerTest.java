package org.mimosacleat.serving.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;

class EndpointTrackerTest {
  private final ServingFixture proxy = new ServingFixture();
  private final FakeEndpoint endpoint = new FakeEndpoint("e", EndpointRole.REPLICA, 7);
  private final TaskList scheduled = new TaskList();
  private final EndpointTracker tracker =
      new EndpointTracker(proxy.pools, proxy.groupStates, _ -> {}, scheduled);

  @AfterEach
  void stop() {
    scheduled.shutdownNow();
  }

  /** Guards against: an endpoint that drains gets new work by its entry from an older copy. */
  @Test
  void endpointThatDrainsIsNotBroughtBackByOlderEntry() {
    tracker.update(endpoint.entry(false, 4));
    tracker.update(endpoint.entry(true, 5));

    tracker.replaceAll(List.of(endpoint.entry(false, 4)));

    assertTrue(known().draining());
  }

  @Test
  void laterEntryIsApplied() {
    tracker.update(endpoint.entry(true, 4));

    tracker.update(endpoint.entry(false, 5));

    assertFalse(known().draining());
  }

  /** An endpoint counts its entries anew after a start. */
  @Test
  void entryAfterRestartIsApplied() {
    tracker.update(endpoint.entry(true, 9));

    tracker.update(new FakeEndpoint("e", EndpointRole.REPLICA, 8).entry(false, 0));

    assertFalse(known().draining());
  }

  @Test
  void endpointThatLeftIsNotBroughtBackByOlderCopy() {
    tracker.update(endpoint.entry(true, 9));
    tracker.scheduleRemoval(endpoint.id());
    scheduled.runFirst();

    tracker.replaceAll(List.of(endpoint.entry(false, 4)));

    assertFalse(proxy.fleet.snapshot().endpoints().containsKey(endpoint.id()));
  }

  /** Pattern: the entry of a live endpoint lapses while the store is away, and is written again. */
  @Test
  void endpointThatWritesAgainIsListedAgain() {
    tracker.update(endpoint.entry(false, 9));
    tracker.scheduleRemoval(endpoint.id());
    scheduled.runFirst();

    tracker.update(endpoint.entry(false, 10));

    assertEquals(10, known().sequence());
  }

  private EndpointEntry known() {
    return proxy.fleet.snapshot().endpoints().get(endpoint.id());
  }

  /** Keeps tasks until the test runs them. */
  private static final class TaskList extends ScheduledThreadPoolExecutor {
    private final List<Runnable> tasks = new ArrayList<>();

    TaskList() {
      super(1);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
      tasks.add(task);
      Callable<Void> nothing = () -> null;
      return super.schedule(nothing, 1, TimeUnit.DAYS);
    }

    void runFirst() {
      tasks.removeFirst().run();
    }
  }
}
