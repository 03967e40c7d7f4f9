package org.mimosacleat.lab.measure.load;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Baseline policies that start jobs in a fixed order. Optionally each endpoint reserves some slots
 * for stragglers and the others for short jobs; an oracle knows which jobs are stragglers.
 */
final class OrderedPolicy implements SlotPolicy {
  private enum Queue {
    PINNED,
    ANYWHERE,
    PINNED_STRAGGLERS,
    STRAGGLERS_ANYWHERE
  }

  private final Comparator<Job> order;
  private final int slots;
  private final int stragglerSlots;
  private final int[] running;
  private final int[] runningStragglers;
  private final Map<Queue, PriorityQueue<Job>> queues = new EnumMap<>(Queue.class);
  private final Map<Long, Integer> endpointsByJob = new HashMap<>();

  private OrderedPolicy(Comparator<Job> order, int endpoints, int slots, int stragglerSlots) {
    this.order = order.thenComparing(Job::id);
    this.slots = slots;
    this.stragglerSlots = stragglerSlots;
    this.running = new int[endpoints];
    this.runningStragglers = new int[endpoints];
    for (Queue queue : Queue.values()) {
      queues.put(queue, new PriorityQueue<>(this.order));
    }
  }

  static OrderedPolicy firstInFirstOut(int endpoints, int slots) {
    return new OrderedPolicy(Comparator.comparing(Job::arrival), endpoints, slots, 0);
  }

  static OrderedPolicy shortestFirst(int endpoints, int slots) {
    return new OrderedPolicy(Comparator.comparing(Job::serviceTime), endpoints, slots, 0);
  }

  static OrderedPolicy twoQueues(int endpoints, int slots) {
    Comparator<Job> byArrival = Comparator.comparing(Job::arrival);
    return new OrderedPolicy(byArrival, endpoints, slots, slots - 1);
  }

  @Override
  public boolean submit(Job job) {
    queues.get(queueOf(job)).add(job);
    return true;
  }

  @Override
  public Optional<Job> next() {
    Job best = null;
    int bestEndpoint = 0;
    for (int endpoint = 0; endpoint < running.length; endpoint++) {
      for (Queue queue : Queue.values()) {
        Job head = queues.get(queue).peek();
        boolean eligible = head != null && fits(head, endpoint);
        boolean better = eligible && (best == null || order.compare(head, best) < 0);
        bestEndpoint = better ? endpoint : bestEndpoint;
        best = better ? head : best;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    queues.get(queueOf(best)).poll();
    endpointsByJob.put(best.id(), bestEndpoint);
    addRunning(best, bestEndpoint, 1);
    return Optional.of(best);
  }

  @Override
  public void complete(Job job) {
    addRunning(job, endpointsByJob.remove(job.id()), -1);
  }

  @Override
  public List<Job> tick() {
    return List.of();
  }

  @Override
  public int waiting() {
    return queues.values().stream().mapToInt(PriorityQueue::size).sum();
  }

  private Queue queueOf(Job job) {
    if (job.straggler()) {
      return job.pinned() ? Queue.PINNED_STRAGGLERS : Queue.STRAGGLERS_ANYWHERE;
    }
    return job.pinned() ? Queue.PINNED : Queue.ANYWHERE;
  }

  private boolean fits(Job job, int endpoint) {
    if (job.pinned() && endpoint > 0) {
      return false;
    }
    if (stragglerSlots == 0) {
      return running[endpoint] < slots;
    }
    int runningShort = running[endpoint] - runningStragglers[endpoint];
    return job.straggler()
        ? runningStragglers[endpoint] < stragglerSlots
        : runningShort < slots - stragglerSlots;
  }

  private void addRunning(Job job, int endpoint, int change) {
    running[endpoint] += change;
    runningStragglers[endpoint] += job.straggler() ? change : 0;
  }
}
