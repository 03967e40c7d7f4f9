package org.mimosacleat.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.mimosacleat.core.id.CustomerId;

/**
 * The virtual time of start-time fair queueing: customers that keep work waiting are served in
 * proportion to their weights, whatever they cost and however much they queue.
 *
 * <p>Call {@link #enqueue} for each piece of work and serve waiting work in the order of the tags;
 * call {@link #started} or {@link #withdrawn} as it leaves the queue. Not safe for several threads:
 * one group's executor owns it.
 */
public final class FairClock {
  private static final int IDLE_ALLOWED = 64;

  private final Map<CustomerId, Backlog> backlogs = new HashMap<>();
  private double virtualTime;
  private double totalWeight;
  private double totalCost;
  private int busy;

  /** Returns the tag of new work; {@code cost} is in nanoseconds of one slot. */
  public double enqueue(CustomerId customer, double weight, double cost) {
    Backlog backlog = backlogs.computeIfAbsent(customer, absent -> new Backlog());
    if (backlog.waiting == 0) {
      busy++;
      totalWeight += weight;
    } else {
      totalWeight += weight - backlog.weight;
    }
    backlog.weight = weight;
    double tag = Math.max(virtualTime, backlog.lastFinish);
    backlog.lastFinish = tag + cost / weight;
    backlog.cost += cost;
    backlog.waiting++;
    totalCost += cost;
    return tag;
  }

  /** Takes work with this tag out of the queue, since it starts. */
  public void started(CustomerId customer, double cost, double tag) {
    virtualTime = Math.max(virtualTime, tag);
    remove(backlogs.get(customer), cost);
  }

  /** Takes work out of the queue that will not start. */
  public void withdrawn(CustomerId customer, double cost) {
    Backlog backlog = backlogs.get(customer);
    backlog.lastFinish -= cost / backlog.weight;
    remove(backlog, cost);
  }

  /** Returns the cost of a customer's waiting work. */
  public double costOf(CustomerId customer) {
    Backlog backlog = backlogs.get(customer);
    return backlog == null ? 0 : backlog.cost;
  }

  /** Returns the share, over 0 to 1, that a customer gets among those that have work waiting. */
  public double shareOf(CustomerId customer, double weight) {
    Backlog backlog = backlogs.get(customer);
    boolean counted = backlog != null && backlog.waiting > 0;
    return weight / (counted ? totalWeight : totalWeight + weight);
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
    busy--;
    if (busy == 0) {
      totalWeight = 0;
      totalCost = 0;
    }
    if (backlogs.size() > 2 * busy + IDLE_ALLOWED) {
      backlogs.values().removeIf(idle -> idle.waiting == 0 && idle.lastFinish <= virtualTime);
    }
  }

  private static final class Backlog {
    double weight;
    double lastFinish;
    double cost;
    int waiting;
  }
}
