package org.mimosacleat.core.schedule;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.mimosacleat.core.admission.FairQueueClock;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;

/**
 * Decides which waiting statement of a group runs next, and on which endpoint.
 *
 * <p>Add the endpoints with their slots, {@link #submit} statements, and after each submission, end
 * or tick call {@link #next} until it is empty, running each {@link Start}. Report each end with
 * {@link #finished} or {@link #failed}, and call {@link #tick} every few milliseconds: it returns
 * the waiting statements that are refused now. A slot is one statement that an endpoint runs at
 * once. Not safe for several threads: one group's executor owns it.
 *
 * <p>Long statements never use the reserved slots of an endpoint, so short ones do not queue behind
 * them. A long statement that has waited for {@link SlotSettings#longAge} goes ahead of short work,
 * so it starts at the latest when the long slots ahead of it have served the long statements before
 * it. Every statement starts or is refused by its deadline.
 */
public final class SlotScheduler {
  private static final int ENDED_ENTRIES_KEPT = 1024;
  private static final Comparator<EndpointSlots> MOST_FREE_SLOTS_FIRST =
      (first, second) -> Integer.compare(second.free(), first.free());

  private final SlotSettings settings;
  private final ServiceTimeEstimator estimator;
  private final InstantSource clock;
  private final Instant origin;
  private final Map<EndpointId, EndpointSlots> endpoints = new HashMap<>();
  private final List<EndpointSlots> byFreeSlots = new ArrayList<>();
  private final Map<Ticket, QueuedWork> alive = new HashMap<>();
  private final List<QueuedWork> running = new ArrayList<>();
  private final WorkQueues queues = new WorkQueues();
  private final PriorityQueue<QueuedWork> byLatestStart =
      new PriorityQueue<>(Comparator.comparingLong((QueuedWork queued) -> queued.latestStart));
  private int probesOnReservedSlots;
  private long lastTicket;

  /** Starts without endpoints. */
  public SlotScheduler(SlotSettings settings, ServiceTimeEstimator estimator, InstantSource clock) {
    this.settings = settings;
    this.estimator = estimator;
    this.clock = clock;
    this.origin = clock.instant();
  }

  /** Offers the slots of an endpoint to waiting work, for the first time or again. */
  public void addEndpoint(EndpointId id, int slots) {
    EndpointSlots known = endpoints.get(id);
    if (known != null) {
      known.accept(true);
      return;
    }
    EndpointSlots added = new EndpointSlots(id, slots, settings.reservedSlots());
    endpoints.put(id, added);
    byFreeSlots.add(added);
  }

  /**
   * Gives no more work to an endpoint. What runs there is still to be reported as it ends.
   *
   * @return the waiting statements that no other endpoint may serve
   */
  public List<Refusal> removeEndpoint(EndpointId id) {
    EndpointSlots removed = endpoints.get(id);
    if (removed == null) {
      return List.of();
    }
    removed.accept(false);
    List<Refusal> refusals = new ArrayList<>();
    for (QueuedWork queued : List.copyOf(alive.values())) {
      if (queued.isWaiting() && slotsOf(queued.work.eligible()) == 0) {
        refusals.add(refuse(queued, ErrorKind.UNAVAILABLE, "endpoint " + id + " takes no work"));
      }
    }
    return refusals;
  }

  /** Queues a statement, or refuses it at once when it could not be served in time. */
  public Either<Failure, Ticket> submit(Work work) {
    ServiceTimeEstimate estimate = estimator.estimate(work.fingerprint());
    WorkClass workClass = classOf(estimate);
    int slots = slotsOf(work.eligible());
    if (slots == 0) {
      return refuseNew(ErrorKind.UNAVAILABLE, "no endpoint takes work that may serve it");
    }
    long now = now();
    long cost = Math.max(1, estimate.expectedNanoseconds());
    long latestStart = nanoseconds(work.deadline()) - cost;
    long wait = work.continuation() ? 0 : expectedWait(work, workClass);
    if (now + wait > latestStart) {
      return refuseNew(ErrorKind.OVERLOADED, "it would end after its deadline");
    }
    if (wait > maximumWait(workClass).toNanos()) {
      return refuseNew(ErrorKind.OVERLOADED, "it would wait for " + Duration.ofNanos(wait));
    }
    Ticket ticket = new Ticket(++lastTicket);
    QueuedWork queued = new QueuedWork(ticket, work, workClass, cost, now, latestStart);
    queues.add(queued);
    remember(queued);
    alive.put(ticket, queued);
    return Either.right(ticket);
  }

  /** Returns the next statement to run, if a slot is free for one. */
  public Optional<Start> next() {
    if (queues.waiting() == 0) {
      return Optional.empty();
    }
    demoteLongRunning();
    byFreeSlots.sort(MOST_FREE_SLOTS_FIRST);
    for (EndpointSlots endpoint : byFreeSlots) {
      QueuedWork chosen = endpoint.free() > 0 ? choose(endpoint) : null;
      if (chosen != null) {
        return Optional.of(start(chosen, endpoint));
      }
    }
    return Optional.empty();
  }

  /** Takes in that a statement has ended and learns from its run time. */
  public void finished(Ticket ticket) {
    QueuedWork ended = end(ticket);
    if (ended != null) {
      estimator.record(ended.work.fingerprint(), now() - ended.startedAt);
    }
  }

  /** Takes in that a statement has ended by a fault, so that its run time says nothing. */
  public void failed(Ticket ticket) {
    end(ticket);
  }

  /** Takes a waiting statement out; returns false if it has started or ended. */
  public boolean withdraw(Ticket ticket) {
    QueuedWork queued = alive.get(ticket);
    if (queued == null || !queued.isWaiting()) {
      return false;
    }
    discard(queued);
    return true;
  }

  /** Returns the waiting statements that can no longer start in time. */
  public List<Refusal> tick() {
    demoteLongRunning();
    long now = now();
    List<Refusal> refusals = new ArrayList<>();
    while (!byLatestStart.isEmpty() && isOver(byLatestStart.peek(), now)) {
      QueuedWork queued = byLatestStart.poll();
      if (queued.isWaiting()) {
        refusals.add(
            refuse(queued, ErrorKind.DEADLINE_BEFORE_START, "it waited until its deadline"));
      }
    }
    return refusals;
  }

  /** Returns how many statements wait. */
  public int waiting() {
    return queues.waiting();
  }

  /** Returns how many statements run. */
  public int running() {
    return running.size();
  }

  private void remember(QueuedWork queued) {
    byLatestStart.add(queued);
    if (byLatestStart.size() > 2 * queues.waiting() + ENDED_ENTRIES_KEPT) {
      byLatestStart.removeIf(entry -> !entry.isWaiting());
    }
  }

  private QueuedWork choose(EndpointSlots endpoint) {
    QueuedWork longHead = queues.head(WorkClass.LONG, endpoint.id);
    boolean aged = longHead != null && isAged(longHead) && endpoint.hasLongSlot();
    if (aged && !endpoint.isTurnOfShort()) {
      return longHead;
    }
    QueuedWork shortHead = queues.head(WorkClass.SHORT, endpoint.id);
    QueuedWork probe = mayProbe(endpoint) ? queues.head(WorkClass.PROBE, endpoint.id) : null;
    if (probe != null && (shortHead == null || probe.startTag <= shortHead.startTag)) {
      return probe;
    }
    if (shortHead != null) {
      return shortHead;
    }
    return aged || endpoint.hasEarlyLongSlot() ? longHead : null;
  }

  private boolean isAged(QueuedWork queued) {
    return now() - queued.submittedAt >= settings.longAge().toNanos();
  }

  private boolean mayProbe(EndpointSlots endpoint) {
    return endpoint.hasLongSlot() || probesOnReservedSlots == 0;
  }

  private Start start(QueuedWork queued, EndpointSlots endpoint) {
    boolean onReservedSlot = queued.workClass == WorkClass.PROBE && !endpoint.hasLongSlot();
    probesOnReservedSlots += onReservedSlot ? 1 : 0;
    queued.onReservedSlot = onReservedSlot;
    queued.state = QueuedWork.State.RUNNING;
    queued.startedAt = now();
    queued.endpoint = endpoint;
    queued.countsAsLong = queued.workClass != WorkClass.SHORT;
    endpoint.start(queued.countsAsLong);
    queues.started(queued);
    running.add(queued);
    return new Start(queued.ticket, endpoint.id);
  }

  private QueuedWork end(Ticket ticket) {
    QueuedWork queued = alive.get(ticket);
    if (queued == null || queued.isWaiting()) {
      return null;
    }
    alive.remove(ticket);
    running.remove(queued);
    queued.state = QueuedWork.State.ENDED;
    queued.endpoint.finish(queued.countsAsLong);
    probesOnReservedSlots -= queued.onReservedSlot ? 1 : 0;
    return queued;
  }

  private void demoteLongRunning() {
    long now = now();
    long threshold = estimator.longThresholdNanoseconds();
    for (QueuedWork queued : running) {
      boolean passed = !queued.reported && now - queued.startedAt > threshold;
      if (passed) {
        demote(queued, now - queued.startedAt);
      }
    }
  }

  private void demote(QueuedWork queued, long ranFor) {
    queued.reported = true;
    estimator.stillRunning(queued.work.fingerprint(), ranFor);
    if (!queued.countsAsLong) {
      queued.countsAsLong = true;
      queued.endpoint.demote();
    }
  }

  private Refusal refuse(QueuedWork queued, ErrorKind kind, String detail) {
    discard(queued);
    return new Refusal(queued.ticket, new Failure(kind, "not run: " + detail));
  }

  private void discard(QueuedWork queued) {
    queued.state = QueuedWork.State.ENDED;
    alive.remove(queued.ticket);
    queues.withdrawn(queued);
  }

  private long expectedWait(Work work, WorkClass workClass) {
    double ahead = 0;
    for (WorkQueue queue : queues.competing(workClass, work.eligible())) {
      ahead += (double) queue.costNanoseconds() / capacity(workClass, queue.eligible);
    }
    FairQueueClock fairClock = queues.clock(workClass);
    double share = fairClock.shareOf(work.customer(), work.weight());
    double own = fairClock.costOf(work.customer()) / capacity(workClass, work.eligible()) / share;
    return (long) Math.min(ahead, own);
  }

  private int capacity(WorkClass workClass, Set<EndpointId> eligible) {
    int capacity = 0;
    for (EndpointId id : eligible) {
      EndpointSlots endpoint = endpoints.get(id);
      if (endpoint != null && endpoint.isAccepting()) {
        capacity += workClass == WorkClass.LONG ? endpoint.longSlots() : endpoint.freeOfLong();
      }
    }
    return Math.max(1, capacity);
  }

  private int slotsOf(Set<EndpointId> eligible) {
    int slots = 0;
    for (EndpointId id : eligible) {
      EndpointSlots endpoint = endpoints.get(id);
      slots += endpoint == null || !endpoint.isAccepting() ? 0 : endpoint.slots();
    }
    return slots;
  }

  private Duration maximumWait(WorkClass workClass) {
    return workClass == WorkClass.LONG ? settings.maximumLongWait() : settings.maximumShortWait();
  }

  private static WorkClass classOf(ServiceTimeEstimate estimate) {
    if (estimate.longRunning()) {
      return WorkClass.LONG;
    }
    return estimate.probe() ? WorkClass.PROBE : WorkClass.SHORT;
  }

  private static boolean isOver(QueuedWork queued, long now) {
    return !queued.isWaiting() || queued.latestStart < now;
  }

  private static Either<Failure, Ticket> refuseNew(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, "not run: " + detail));
  }

  private long now() {
    return nanoseconds(clock.instant());
  }

  private long nanoseconds(Instant instant) {
    return Duration.between(origin, instant).toNanos();
  }
}
