package org.mimosacleat.proxy.fleet;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.admission.AdmissionController;
import org.mimosacleat.core.admission.Allowance;
import org.mimosacleat.core.admission.HomeShares;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.admission.ShareCoordinators;
import org.mimosacleat.core.admission.ShareGrant;
import org.mimosacleat.core.admission.ShareReport;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.CustomerAllowance;
import org.mimosacleat.core.lists.PlanAllowance;
import org.mimosacleat.proxy.concurrent.Mailbox;
import org.mimosacleat.proxy.home.Admission;
import org.mimosacleat.wire.fleet.ShareMessage;
import org.mimosacleat.wire.fleet.ShareMessageCodec;

/**
 * Holds this proxy's shares of the customers' allowances, and divides the allowances of those
 * customers that it coordinates.
 */
public final class ShareKeeper implements Admission, AutoCloseable {
  private static final Duration FIRST_SHARE_TIMEOUT = Duration.ofSeconds(5);
  private static final double SMALLEST_WEIGHT = 0.01;

  private final VmId self;
  private final LiveFleet fleet;
  private final ListKeeper lists;
  private final FleetSender sender;
  private final ExecutorService executor;
  private final AdmissionController gate;
  private final HomeShares shares;
  private final ShareCoordinators coordinators;
  private final Mailbox mailbox = new Mailbox(HomeShares.REPORT_INTERVAL, this::tick);
  private final ConcurrentHashMap<CustomerId, FirstShare> firstShares = new ConcurrentHashMap<>();

  /** Makes a keeper without any share. */
  public ShareKeeper(
      VmId self,
      LiveFleet fleet,
      ListKeeper lists,
      FleetSender sender,
      InstantSource clock,
      ExecutorService executor) {
    this.self = self;
    this.fleet = fleet;
    this.lists = lists;
    this.sender = sender;
    this.executor = executor;
    this.gate = new AdmissionController(clock);
    this.shares = new HomeShares(self, gate, clock);
    this.coordinators = new ShareCoordinators(self, clock);
  }

  /** Starts to report and to divide. */
  public void start() {
    mailbox.start(executor);
  }

  @Override
  public Either<Failure, Permit> admit(CustomerId customer) {
    if (lists.isReady() && lists.find(customer).isEmpty()) {
      return Either.left(
          new Failure(
              ErrorKind.OVER_ALLOWANCE, "not run: customer " + customer + " is not listed"));
    }
    awaitFirstShare(customer);
    return gate.admit(customer);
  }

  @Override
  public Either<Failure, Permit> admitConnection(CustomerId customer) {
    return gate.admitConnection(customer);
  }

  @Override
  public Duration longestRequest(CustomerId customer) {
    return lists
        .find(customer)
        .map(known -> known.allowance().requestDeadline())
        .orElse(Duration.ZERO);
  }

  @Override
  public double weightOf(CustomerId customer) {
    double share = lists.find(customer).map(CustomerAllowance::guaranteedShare).orElse(0.0);
    return Math.max(SMALLEST_WEIGHT, share);
  }

  /** Takes in a message; does not wait. */
  public void received(VmId from, ShareMessage message) {
    mailbox.post(
        () -> {
          switch (message) {
            case ShareMessage.Reports reports -> answer(from, reports.reports());
            case ShareMessage.Grants grants -> grants.grants().forEach(this::accept);
          }
        });
  }

  @Override
  public void close() {
    mailbox.close();
  }

  /** The first statement of a customer waits until its share has come, for a bounded time. */
  private void awaitFirstShare(CustomerId customer) {
    firstShares.computeIfAbsent(customer, any -> new FirstShare()).await(FIRST_SHARE_TIMEOUT);
  }

  private void tick() {
    if (homes().contains(self)) {
      // A coordinator raises shares only while every home reports, used or not.
      lists.inForce().customers().keySet().forEach(shares::add);
    }
    Map<VmId, List<ShareReport>> byCoordinator = new HashMap<>();
    for (ShareReport report : shares.dueReports(fleet::coordinatorOf)) {
      byCoordinator.computeIfAbsent(report.coordinator(), any -> new ArrayList<>()).add(report);
    }
    byCoordinator.forEach(
        (coordinator, reports) -> {
          if (coordinator.equals(self)) {
            answer(self, reports);
          } else {
            send(coordinator, new ShareMessage.Reports(reports));
          }
        });
  }

  private void answer(VmId holder, List<ShareReport> reports) {
    Set<VmId> homes = homes();
    List<ShareGrant> grants = new ArrayList<>();
    for (ShareReport report : reports) {
      lists
          .find(report.customer())
          .ifPresentOrElse(
              allowance -> coordinators.setCustomer(report.customer(), allowance(allowance), homes),
              () -> coordinators.remove(report.customer()));
      coordinators.handleReport(report).ifPresent(grants::add);
    }
    if (holder.equals(self)) {
      grants.forEach(this::accept);
    } else if (!grants.isEmpty()) {
      send(holder, new ShareMessage.Grants(grants));
    }
  }

  private void accept(ShareGrant grant) {
    boolean accepted = shares.accept(grant);
    if (accepted && grant.units() > 0) {
      firstShares
          .computeIfAbsent(grant.customer(), any -> new FirstShare())
          .arrived(grant.resource());
    }
  }

  /** The VMs that are, or are next to be, home of a group. */
  private Set<VmId> homes() {
    Set<VmId> homes = new HashSet<>();
    for (GroupId group : fleet.placement().groups()) {
      homes.addAll(fleet.likelyHomes(group));
    }
    return homes;
  }

  private static Allowance allowance(CustomerAllowance customer) {
    PlanAllowance plan = customer.allowance();
    return new Allowance(
        Math.max(SMALLEST_WEIGHT, customer.guaranteedShare()),
        plan.concurrentStatements(),
        plan.statementsPerSecond(),
        plan.connections());
  }

  private void send(VmId to, ShareMessage message) {
    sender.send(to, FleetChannel.SHARES, () -> ShareMessageCodec.encode(message));
  }
}
