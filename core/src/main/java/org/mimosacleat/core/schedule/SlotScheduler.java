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
 * <p>Add the endpoints with their slots and {@link #submit} statements. After each submission, end
 * of a statement or tick, call {@link #next} until it returns empty and run each returned {@link
 * StartDecision}. Report the end of each statement with {@link #finished} or {@link #failed}. Call
 * {@link #tick} every few milliseconds: it returns the waiting statements that are now refused. An
 * endpoint runs as many statements concurrently as it has slots. Not thread-safe: used only by the
 * executor of one group.
 *
 * <p>Long statements never use the reserved slots of an endpoint, so short statements do not queue
 * behind them. A long statement that has waited for {@link SlotSettings#longAge} takes precedence
 * over short work, so it starts at the latest when the long slots have served the long statements
 * queued before it. Every statement starts or is refused by its deadline.
 */
public final class SlotScheduler {
  private static final int ENDED_ENTRIES_KEPT = 1024;
  private static final Comparator<EndpointSlots> MOST_FREE_SLOTS_FIRST =
      (first, second) -> Integer.compare(second.freeSlots(), first.freeSlots());

  private final SlotSettings settings;
  private final ServiceTimeEstimator estimator;
  private final InstantSource clock;
  private final Instant origin;
  private final Map<EndpointId, EndpointSlots> endpoints = new HashMap<>();
  private final List<EndpointSlots> byFreeSlots = new ArrayList<>();
  private final Map<Ticket, QueuedWork> unfinished = new HashMap<>();
  private final List<QueuedWork> running = new ArrayList<>();
  private final WorkQueues queues = new WorkQueues();
  private final PriorityQueue<QueuedWork> byLatestStart =
      new PriorityQueue<>(Comparator.comparingLong((QueuedWork queued) -> queued.latestStart));
  private int probesOnReservedSlots;
  private long lastTicket;

  /** Creates a scheduler without endpoints. */
  public SlotScheduler(SlotSettings settings, ServiceTimeEstimator estimator, InstantSource clock) {
    this.settings = settings;
    this.estimator = estimator;
    this.clock = clock;
    this.origin = clock.instant();
  }

  /** Makes the slots of an endpoint available to waiting work, for the first time or again. */
  public void addEndpoint(EndpointId id, int slots) {
    EndpointSlots existing = endpoints.get(id);
    if (existing != null) {
      existing.setAccepting(true);
      return;
    }
    EndpointSlots added = new EndpointSlots(id, slots, settings.reservedSlots());
    endpoints.put(id, added);
    byFreeSlots.add(added);
  }

  /**
   * Stops assigning work to an endpoint. The end of statements running there must still be
   * reported.
   *
   * @return refusals of the waiting statements that no other endpoint may run
   */
  public List<Refusal> removeEndpoint(EndpointId id) {
    EndpointSlots removed = endpoints.get(id);
    if (removed == null) {
      return List.of();
    }
    removed.setAccepting(false);
    List<Refusal> refusals = new ArrayList<>();
    for (QueuedWork queued : List.copyOf(unfinished.values())) {
      if (queued.isWaiting() && acceptingSlots(queued.work.eligible()) == 0) {
        refusals.add(
            refuse(queued, ErrorKind.UNAVAILABLE, "endpoint " + id + " accepts no new work"));
      }
    }
    return refusals;
  }

  /** Queues a statement, or refuses it immediately if it could not be served in time. */
  public Either<Failure, Ticket> submit(Work work) {
    ServiceTimeEstimate estimate = estimator.estimate(work.fingerprint());
    WorkClass workClass = classOf(estimate);
    int slots = acceptingSlots(work.eligible());
    if (slots == 0) {
      return refuseNew(ErrorKind.UNAVAILABLE, "no eligible endpoint accepts new work");
    }
    long now = now();
    long cost = Math.max(1, estimate.expectedNanoseconds());
    long latestStart = nanoseconds(work.deadline()) - cost;
    long wait = work.continuation() ? 0 : expectedWait(work, workClass);
    if (now + wait > latestStart) {
      return refuseNew(ErrorKind.OVERLOADED, "it would end after its deadline");
    }
    if (wait > maxWait(workClass).toNanos()) {
      return refuseNew(ErrorKind.OVERLOADED, "it would wait for " + Duration.ofNanos(wait));
    }
    Ticket ticket = new Ticket(++lastTicket);
    QueuedWork queued = new QueuedWork(ticket, work, workClass, cost, now, latestStart);
    queues.add(queued);
    indexByLatestStart(queued);
    unfinished.put(ticket, queued);
    return Either.right(ticket);
  }

  /** Returns the next statement to run, if a slot is free for one. */
  public Optional<StartDecision> next() {
    if (queues.waiting() == 0) {
      return Optional.empty();
    }
    reclassifyLongRunning();
    byFreeSlots.sort(MOST_FREE_SLOTS_FIRST);
    for (EndpointSlots endpoint : byFreeSlots) {
      QueuedWork chosen = endpoint.freeSlots() > 0 ? choose(endpoint) : null;
      if (chosen != null) {
        return Optional.of(start(chosen, endpoint));
      }
    }
    return Optional.empty();
  }

  /** Records the end of a statement and its run time. */
  public void finished(Ticket ticket) {
    QueuedWork ended = end(ticket);
    if (ended != null) {
      estimator.record(ended.work.fingerprint(), now() - ended.startedAt);
    }
  }

  /**
   * Records that a statement ended with a fault; its run time is not representative and ignored.
   */
  public void failed(Ticket ticket) {
    end(ticket);
  }

  /** Removes a waiting statement; returns false if it has started or ended. */
  public boolean withdraw(Ticket ticket) {
    QueuedWork queued = unfinished.get(ticket);
    if (queued == null || !queued.isWaiting()) {
      return false;
    }
    discard(queued);
    return true;
  }

  /** Refuses the waiting statements that can no longer start in time, and returns the refusals. */
  public List<Refusal> tick() {
    reclassifyLongRunning();
    long now = now();
    List<Refusal> refusals = new ArrayList<>();
    while (!byLatestStart.isEmpty() && isEndedOrExpired(byLatestStart.peek(), now)) {
      QueuedWork queued = byLatestStart.poll();
      if (queued.isWaiting()) {
        refusals.add(
            refuse(queued, ErrorKind.DEADLINE_BEFORE_START, "it waited until its deadline"));
      }
    }
    return refusals;
  }

  /** Returns the number of waiting statements. */
  public int waiting() {
    return queues.waiting();
  }

  /** Returns the number of running statements. */
  public int running() {
    return running.size();
  }

  private void indexByLatestStart(QueuedWork queued) {
    byLatestStart.add(queued);
    if (byLatestStart.size() > 2 * queues.waiting() + ENDED_ENTRIES_KEPT) {
      byLatestStart.removeIf(entry -> !entry.isWaiting());
    }
  }

  private QueuedWork choose(EndpointSlots endpoint) {
    QueuedWork longHead = queues.head(WorkClass.LONG, endpoint.id);
    boolean longHeadIsAged = longHead != null && isAged(longHead) && endpoint.hasFreeLongSlot();
    if (longHeadIsAged && !endpoint.isShortTurn()) {
      return longHead;
    }
    QueuedWork shortHead = queues.head(WorkClass.SHORT, endpoint.id);
    QueuedWork probe = canStartProbe(endpoint) ? queues.head(WorkClass.PROBE, endpoint.id) : null;
    if (probe != null && (shortHead == null || probe.startTag <= shortHead.startTag)) {
      return probe;
    }
    if (shortHead != null) {
      return shortHead;
    }
    return longHeadIsAged || endpoint.hasFreeLongSlotForUnaged() ? longHead : null;
  }

  private boolean isAged(QueuedWork queued) {
    return now() - queued.submittedAt >= settings.longAge().toNanos();
  }

  private boolean canStartProbe(EndpointSlots endpoint) {
    return endpoint.hasFreeLongSlot() || probesOnReservedSlots == 0;
  }

  private StartDecision start(QueuedWork queued, EndpointSlots endpoint) {
    boolean onReservedSlot = queued.workClass == WorkClass.PROBE && !endpoint.hasFreeLongSlot();
    probesOnReservedSlots += onReservedSlot ? 1 : 0;
    queued.onReservedSlot = onReservedSlot;
    queued.state = QueuedWork.State.RUNNING;
    queued.startedAt = now();
    queued.endpoint = endpoint;
    queued.countsAsLong = queued.workClass != WorkClass.SHORT;
    endpoint.start(queued.countsAsLong);
    queues.started(queued);
    running.add(queued);
    return new StartDecision(queued.ticket, endpoint.id);
  }

  private QueuedWork end(Ticket ticket) {
    QueuedWork queued = unfinished.get(ticket);
    if (queued == null || queued.isWaiting()) {
      return null;
    }
    unfinished.remove(ticket);
    running.remove(queued);
    queued.state = QueuedWork.State.ENDED;
    queued.endpoint.finish(queued.countsAsLong);
    probesOnReservedSlots -= queued.onReservedSlot ? 1 : 0;
    return queued;
  }

  private void reclassifyLongRunning() {
    long now = now();
    long threshold = estimator.longThresholdNanoseconds();
    for (QueuedWork queued : running) {
      boolean exceedsThreshold = !queued.longRunRecorded && now - queued.startedAt > threshold;
      if (exceedsThreshold) {
        reclassifyAsLong(queued, now - queued.startedAt);
      }
    }
  }

  private void reclassifyAsLong(QueuedWork queued, long runTime) {
    queued.longRunRecorded = true;
    estimator.recordStillRunning(queued.work.fingerprint(), runTime);
    if (!queued.countsAsLong) {
      queued.countsAsLong = true;
      queued.endpoint.countOneMoreLong();
    }
  }

  private Refusal refuse(QueuedWork queued, ErrorKind kind, String detail) {
    discard(queued);
    return new Refusal(queued.ticket, new Failure(kind, "not run: " + detail));
  }

  private void discard(QueuedWork queued) {
    queued.state = QueuedWork.State.ENDED;
    unfinished.remove(queued.ticket);
    queues.withdrawn(queued);
  }

  private long expectedWait(Work work, WorkClass workClass) {
    double waitBehindAll = 0;
    for (WorkQueue queue : queues.competing(workClass, work.eligible())) {
      waitBehindAll += (double) queue.costNanoseconds() / capacity(workClass, queue.eligible);
    }
    FairQueueClock fairClock = queues.clock(workClass);
    double customerShare = fairClock.shareOf(work.customer(), work.weight());
    double waitBehindOwn =
        fairClock.costOf(work.customer()) / capacity(workClass, work.eligible()) / customerShare;
    return (long) Math.min(waitBehindAll, waitBehindOwn);
  }

  private int capacity(WorkClass workClass, Set<EndpointId> eligible) {
    int capacity = 0;
    for (EndpointId id : eligible) {
      EndpointSlots endpoint = endpoints.get(id);
      if (endpoint != null && endpoint.isAccepting()) {
        capacity +=
            workClass == WorkClass.LONG ? endpoint.longSlots() : endpoint.slotsWithoutLong();
      }
    }
    return Math.max(1, capacity);
  }

  private int acceptingSlots(Set<EndpointId> eligible) {
    int slots = 0;
    for (EndpointId id : eligible) {
      EndpointSlots endpoint = endpoints.get(id);
      slots += endpoint == null || !endpoint.isAccepting() ? 0 : endpoint.slots();
    }
    return slots;
  }

  private Duration maxWait(WorkClass workClass) {
    return workClass == WorkClass.LONG ? settings.maximumLongWait() : settings.maximumShortWait();
  }

  private static WorkClass classOf(ServiceTimeEstimate estimate) {
    if (estimate.longRunning()) {
      return WorkClass.LONG;
    }
    return estimate.probe() ? WorkClass.PROBE : WorkClass.SHORT;
  }

  private static boolean isEndedOrExpired(QueuedWork queued, long now) {
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
