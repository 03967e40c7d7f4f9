package org.mimosacleat.core.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mimosacleat.core.admission.FairQueueClock;
import org.mimosacleat.core.id.EndpointId;

/**
 * All waiting work of a group: one queue for each class and set of eligible endpoints, with one
 * fair queueing clock for short work and probes and another for long work.
 */
final class WorkQueues {
  private static final double CONTINUATION_TAG = -1;

  private final Map<WorkClass, Map<Set<EndpointId>, WorkQueue>> queues =
      new EnumMap<>(WorkClass.class);
  private final FairQueueClock shortClock = new FairQueueClock();
  private final FairQueueClock longClock = new FairQueueClock();
  private int waiting;

  WorkQueues() {
    for (WorkClass workClass : WorkClass.values()) {
      queues.put(workClass, new HashMap<>());
    }
  }

  FairQueueClock clock(WorkClass workClass) {
    return workClass == WorkClass.LONG ? longClock : shortClock;
  }

  int waiting() {
    return waiting;
  }

  void add(QueuedWork queued) {
    Work work = queued.work;
    double tag =
        clock(queued.workClass).enqueue(work.customer(), work.weight(), queued.costNanoseconds);
    queued.startTag = work.continuation() ? CONTINUATION_TAG : tag;
    queue(queued).add(queued);
    waiting++;
  }

  void started(QueuedWork queued) {
    clock(queued.workClass)
        .started(queued.work.customer(), queued.costNanoseconds, queued.startTag);
    removeFromQueue(queued);
  }

  void withdrawn(QueuedWork queued) {
    clock(queued.workClass).withdrawn(queued.work.customer(), queued.costNanoseconds);
    removeFromQueue(queued);
  }

  /** Returns the first work of a class, in fair order, that may run on an endpoint, or null. */
  QueuedWork head(WorkClass workClass, EndpointId endpoint) {
    QueuedWork best = null;
    for (WorkQueue queue : queues.get(workClass).values()) {
      QueuedWork head = queue.eligible.contains(endpoint) ? queue.head() : null;
      boolean earlier = head != null && (best == null || head.startTag < best.startTag);
      best = earlier ? head : best;
    }
    return best;
  }

  /** Returns the queues with work of a class that is eligible for any of the endpoints. */
  List<WorkQueue> competing(WorkClass workClass, Set<EndpointId> eligible) {
    List<WorkQueue> found = new ArrayList<>();
    for (WorkQueue queue : queues.get(workClass).values()) {
      if (!Collections.disjoint(queue.eligible, eligible)) {
        found.add(queue);
      }
    }
    return found;
  }

  private void removeFromQueue(QueuedWork queued) {
    waiting--;
    WorkQueue queue = queue(queued);
    queue.workLeft(queued);
    if (queue.isEmpty()) {
      queues.get(queued.workClass).remove(queued.work.eligible());
    }
  }

  private WorkQueue queue(QueuedWork queued) {
    return queues
        .get(queued.workClass)
        .computeIfAbsent(
            queued.work.eligible(), eligible -> new WorkQueue(queued.workClass, eligible));
  }
}
