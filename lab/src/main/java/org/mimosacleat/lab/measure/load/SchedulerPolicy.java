package org.mimosacleat.lab.measure.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.schedule.EstimatorSettings;
import org.mimosacleat.core.schedule.Refusal;
import org.mimosacleat.core.schedule.ServiceTimeEstimator;
import org.mimosacleat.core.schedule.SlotScheduler;
import org.mimosacleat.core.schedule.SlotSettings;
import org.mimosacleat.core.schedule.StartDecision;
import org.mimosacleat.core.schedule.Ticket;
import org.mimosacleat.core.schedule.Work;

/** The production scheduler of the proxy. */
final class SchedulerPolicy implements SlotPolicy {
  private final EventQueue events;
  private final SlotScheduler scheduler;
  private final Set<EndpointId> primaryOnly;
  private final Set<EndpointId> allEndpoints = new HashSet<>();
  private final Map<Ticket, Job> jobs = new HashMap<>();
  private final Map<Long, Ticket> tickets = new HashMap<>();
  private long decisionNanoseconds;
  private long submitted;

  SchedulerPolicy(EventQueue events, int endpoints, int slots) {
    this.events = events;
    this.scheduler =
        new SlotScheduler(
            SlotSettings.STANDARD,
            new ServiceTimeEstimator(EstimatorSettings.STANDARD),
            events.clock());
    for (int number = 0; number < endpoints; number++) {
      EndpointId id = new EndpointId("endpoint-" + number);
      allEndpoints.add(id);
      scheduler.addEndpoint(id, slots);
    }
    this.primaryOnly = Set.of(new EndpointId("endpoint-0"));
  }

  /** Returns the mean time spent on all scheduling decisions for one statement, in nanoseconds. */
  double nanosecondsPerStatement() {
    return submitted == 0 ? 0 : (double) decisionNanoseconds / submitted;
  }

  @Override
  public boolean submit(Job job) {
    submitted++;
    Work work =
        new Work(
            job.customer(),
            job.weight(),
            job.fingerprint(),
            job.pinned() ? primaryOnly : allEndpoints,
            events.instantAt(job.deadline()),
            false);
    long before = System.nanoTime();
    var ticket = scheduler.submit(work);
    decisionNanoseconds += System.nanoTime() - before;
    if (ticket.isLeft()) {
      return false;
    }
    jobs.put(ticket.get(), job);
    tickets.put(job.id(), ticket.get());
    return true;
  }

  @Override
  public Optional<Job> next() {
    long before = System.nanoTime();
    Optional<StartDecision> start = scheduler.next();
    decisionNanoseconds += System.nanoTime() - before;
    return start.map(started -> jobs.remove(started.ticket()));
  }

  @Override
  public void complete(Job job) {
    long before = System.nanoTime();
    scheduler.finished(tickets.remove(job.id()));
    decisionNanoseconds += System.nanoTime() - before;
  }

  @Override
  public List<Job> tick() {
    List<Job> refused = new ArrayList<>();
    for (Refusal refusal : scheduler.tick()) {
      Job job = jobs.remove(refusal.ticket());
      tickets.remove(job.id());
      refused.add(job);
    }
    return refused;
  }

  @Override
  public int waiting() {
    return scheduler.waiting();
  }
}
