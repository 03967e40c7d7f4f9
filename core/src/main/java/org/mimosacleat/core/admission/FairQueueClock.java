package org.mimosacleat.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.mimosacleat.core.id.TeamId;

/**
 * Virtual time for start-time fair queueing: backlogged customers are served in proportion to their
 * weights, regardless of the cost of their work and the length of their queues.
 *
 * <p>Call {@link #enqueue} for each item of work and serve waiting work in ascending order of start
 * tags. Call {@link #started} or {@link #withdrawn} when work leaves the queue. Not thread-safe:
 * used only by the executor of one group.
 */
public final class FairQueueClock {
  private static final int IDLE_BACKLOGS_KEPT = 64;

  private final Map<TeamId, Backlog> backlogs = new HashMap<>();
  private double virtualTime;
  private double totalWeight;
  private double totalCost;
  private int backloggedCustomers;

  /** Queues work and returns its start tag; {@code cost} is in nanoseconds of one slot. */
  public double enqueue(TeamId customer, double weight, double cost) {
    Backlog backlog = backlogs.computeIfAbsent(customer, absent -> new Backlog());
    if (backlog.waiting == 0) {
      backloggedCustomers++;
      totalWeight += weight;
    } else {
      totalWeight += weight - backlog.weight;
    }
    backlog.weight = weight;
    double startTag = Math.max(virtualTime, backlog.lastFinishTag);
    backlog.lastFinishTag = startTag + cost / weight;
    backlog.cost += cost;
    backlog.waiting++;
    totalCost += cost;
    return startTag;
  }

  /** Removes work from the queue because it starts, and advances virtual time to its start tag. */
  public void started(TeamId customer, double cost, double startTag) {
    virtualTime = Math.max(virtualTime, startTag);
    remove(backlogs.get(customer), cost);
  }

  /** Removes work from the queue that will not start. */
  public void withdrawn(TeamId customer, double cost) {
    Backlog backlog = backlogs.get(customer);
    backlog.lastFinishTag -= cost / backlog.weight;
    remove(backlog, cost);
  }

  /** Returns the cost of a customer's waiting work. */
  public double costOf(TeamId customer) {
    Backlog backlog = backlogs.get(customer);
    return backlog == null ? 0 : backlog.cost;
  }

  /** Returns a customer's share among the backlogged customers: greater than 0, at most 1. */
  public double shareOf(TeamId customer, double weight) {
    Backlog backlog = backlogs.get(customer);
    boolean isBacklogged = backlog != null && backlog.waiting > 0;
    return weight / (isBacklogged ? totalWeight : totalWeight + weight);
  }

  /** Returns the cost of all waiting work. */
  public double totalCost() {
    return totalCost;
  }

  private void remove(Backlog backlog, double cost) {
    backlog.cost -= cost;
    backlog.waiting--;
    totalCost -= cost;
    if (backlog.waiting > 0) {
      return;
    }
    backlog.cost = 0;
    totalWeight -= backlog.weight;
    backloggedCustomers--;
    if (backloggedCustomers == 0) {
      totalWeight = 0;
      totalCost = 0;
    }
    if (backlogs.size() > 2 * backloggedCustomers + IDLE_BACKLOGS_KEPT) {
      backlogs.values().removeIf(idle -> idle.waiting == 0 && idle.lastFinishTag <= virtualTime);
    }
  }

  private static final class Backlog {
    double weight;
    double lastFinishTag;
    double cost;
    int waiting;
  }
}
