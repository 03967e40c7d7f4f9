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
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.CustomerAllowance;
import org.mimosacleat.core.lists.PlanAllowance;
import org.mimosacleat.proxy.concurrent.Mailbox;
import org.mimosacleat.proxy.home.Admission;
import org.mimosacleat.wire.fleet.ShareMessage;
import org.mimosacleat.wire.fleet.ShareMessageCodec;

/**
 * Admits work within this proxy's shares of the customers' allowances, and divides the allowances
 * of the customers that this proxy coordinates among the homes.
 */
public final class ShareService implements Admission, AutoCloseable {
  private static final Duration INITIAL_SHARE_TIMEOUT = Duration.ofSeconds(5);
  private static final double MIN_WEIGHT = 0.01;

  private final VmId self;
  private final FleetState fleet;
  private final ListUpdater lists;
  private final FleetSender sender;
  private final ExecutorService executor;
  private final AdmissionController admissionController;
  private final HomeShares shares;
  private final ShareCoordinators coordinators;
  private final Mailbox mailbox = new Mailbox(HomeShares.REPORT_INTERVAL, this::tick);
  private final ConcurrentHashMap<TeamId, InitialShareLatch> initialShares =
      new ConcurrentHashMap<>();

  /** Creates a service without any share. */
  public ShareService(
      VmId self,
      FleetState fleet,
      ListUpdater lists,
      FleetSender sender,
      InstantSource clock,
      ExecutorService executor) {
    this.self = self;
    this.fleet = fleet;
    this.lists = lists;
    this.sender = sender;
    this.executor = executor;
    this.admissionController = new AdmissionController(clock);
    this.shares = new HomeShares(self, admissionController, clock);
    this.coordinators = new ShareCoordinators(self, clock);
  }

  /** Starts to report demand to coordinators and to grant shares. */
  public void start() {
    mailbox.start(executor);
  }

  @Override
  public Either<Failure, Permit> admit(TeamId customer) {
    if (lists.isReady() && lists.find(customer).isEmpty()) {
      return Either.left(
          new Failure(
              ErrorKind.OVER_ALLOWANCE, "not run: customer " + customer + " is not listed"));
    }
    awaitInitialShares(customer);
    return admissionController.admit(customer);
  }

  @Override
  public Either<Failure, Permit> admitConnection(TeamId customer) {
    return admissionController.admitConnection(customer);
  }

  @Override
  public Duration maxRequestDuration(TeamId customer) {
    return lists
        .find(customer)
        .map(known -> known.allowance().requestDeadline())
        .orElse(Duration.ZERO);
  }

  @Override
  public double weightOf(TeamId customer) {
    double share = lists.find(customer).map(CustomerAllowance::guaranteedShare).orElse(0.0);
    return Math.max(MIN_WEIGHT, share);
  }

  /** Queues a message from another proxy and returns immediately. */
  public void receive(VmId from, ShareMessage message) {
    mailbox.post(
        () -> {
          switch (message) {
            case ShareMessage.Reports reports -> handleReports(from, reports.reports());
            case ShareMessage.Grants grants -> grants.grants().forEach(shares::accept);
          }
        });
  }

  @Override
  public void close() {
    mailbox.close();
  }

  /** Waits for a bounded time until this proxy can admit a first statement of a customer. */
  private void awaitInitialShares(TeamId customer) {
    initialShares
        .computeIfAbsent(customer, any -> new InitialShareLatch())
        .await(INITIAL_SHARE_TIMEOUT);
  }

  private void tick() {
    initialShares.forEach(
        (customer, latch) -> {
          if (admissionController.isReady(customer)) {
            latch.open();
          }
        });
    if (homeCandidates().contains(self)) {
      // A coordinator raises shares only while every home reports, even without any demand.
      lists.activeLists().customers().keySet().forEach(shares::add);
    }
    Map<VmId, List<ShareReport>> byCoordinator = new HashMap<>();
    for (ShareReport report : shares.dueReports(fleet::coordinatorOf)) {
      byCoordinator.computeIfAbsent(report.coordinator(), any -> new ArrayList<>()).add(report);
    }
    byCoordinator.forEach(
        (coordinator, reports) -> {
          if (coordinator.equals(self)) {
            handleReports(self, reports);
          } else {
            send(coordinator, new ShareMessage.Reports(reports));
          }
        });
  }

  private void handleReports(VmId holder, List<ShareReport> reports) {
    Set<VmId> homes = homeCandidates();
    List<ShareGrant> grants = new ArrayList<>();
    for (ShareReport report : reports) {
      lists
          .find(report.customer())
          .ifPresentOrElse(
              allowance ->
                  coordinators.setCustomer(report.customer(), toAllowance(allowance), homes),
              () -> coordinators.remove(report.customer()));
      coordinators.handleReport(report).ifPresent(grants::add);
    }
    if (holder.equals(self)) {
      grants.forEach(shares::accept);
    } else if (!grants.isEmpty()) {
      send(holder, new ShareMessage.Grants(grants));
    }
  }

  /** Returns the VMs that are the home of a group or the next candidates for it. */
  private Set<VmId> homeCandidates() {
    Set<VmId> homes = new HashSet<>();
    for (GroupId group : fleet.placement().groups()) {
      homes.addAll(fleet.likelyHomes(group));
    }
    return homes;
  }

  private static Allowance toAllowance(CustomerAllowance customer) {
    PlanAllowance plan = customer.allowance();
    return new Allowance(
        Math.max(MIN_WEIGHT, customer.guaranteedShare()),
        plan.concurrentStatements(),
        plan.statementsPerSecond(),
        plan.connections());
  }

  private void send(VmId to, ShareMessage message) {
    sender.send(to, FleetChannel.SHARES, () -> ShareMessageCodec.encode(message));
  }
}
