package org.mimosacleat.core.schedule;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/** The waiting work of one class and one set of eligible endpoints, in fair-queueing order. */
final class WorkQueue {
  private static final Comparator<QueuedWork> FAIR_ORDER =
      Comparator.<QueuedWork>comparingDouble(queued -> queued.startTag)
          .thenComparingLong(queued -> queued.ticket.number());

  final WorkClass workClass;
  final Set<EndpointId> eligible;
  private final PriorityQueue<QueuedWork> waiting = new PriorityQueue<>(FAIR_ORDER);
  private long costNanoseconds;

  WorkQueue(WorkClass workClass, Set<EndpointId> eligible) {
    this.workClass = workClass;
    this.eligible = Set.copyOf(eligible);
  }

  void add(QueuedWork queued) {
    waiting.add(queued);
    costNanoseconds += queued.costNanoseconds;
  }

  /** Subtracts the cost of work that no longer waits; its queue entry is removed lazily. */
  void workLeft(QueuedWork queued) {
    costNanoseconds -= queued.costNanoseconds;
    removeLeadingNotWaiting();
  }

  QueuedWork head() {
    return waiting.peek();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  long costNanoseconds() {
    return costNanoseconds;
  }

  private void removeLeadingNotWaiting() {
    QueuedWork head = waiting.peek();
    while (head != null && !head.isWaiting()) {
      waiting.poll();
      head = waiting.peek();
    }
  }
}
