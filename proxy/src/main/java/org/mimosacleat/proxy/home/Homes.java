package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.status.GroupStatus;
import org.mimosacleat.proxy.settings.GroupSettings;
import org.mimosacleat.wire.fleet.HomeMessage;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.BatchRequest;

/**
 * The groups that this proxy is the home of or can become the home of. This is the entry point to
 * the package.
 */
public final class Homes implements AutoCloseable {
  private final HomeContext context;
  private final Map<GroupId, GroupController> controllers;

  private Homes(HomeContext context, Map<GroupId, GroupController> controllers) {
    this.context = context;
    this.controllers = Map.copyOf(controllers);
  }

  /** Creates the controllers of all groups; {@link #start} starts them. */
  public static Homes of(List<GroupSettings> groups, HomeContext context) {
    Map<GroupId, GroupController> controllers = new LinkedHashMap<>();
    for (GroupSettings group : groups) {
      controllers.put(
          group.id(),
          new GroupController(group.id(), context, new GroupResourcesFactory(group, context)));
    }
    return new Homes(context, controllers);
  }

  /** Starts to acquire leases and to monitor the homes that other VMs hold. */
  public void start() {
    controllers.values().forEach(GroupController::start);
  }

  /** Runs a batch; blocks until it is answered. */
  public Either<Failure, BatchAnswer> execute(BatchRequest request, RunningBatch batch) {
    return Optional.ofNullable(controllers.get(request.group()))
        .map(controller -> controller.execute(request, batch))
        .orElseGet(
            () ->
                Either.left(
                    new Failure(
                        ErrorKind.UNKNOWN_GROUP,
                        "database group '" + request.group() + "' is not known")));
  }

  /** Passes a message from another proxy to the controller of its group; does not block. */
  public void receive(VmId sender, HomeMessage message) {
    Optional.ofNullable(controllers.get(message.group()))
        .ifPresent(controller -> controller.receive(sender, message));
  }

  /** Applies the platform's list of leaving endpoints. */
  public void updateLeavingEndpoints(Instant askedAt, Set<EndpointId> leaving) {
    controllers.values().forEach(controller -> controller.updateLeavingEndpoints(askedAt, leaving));
  }

  /** Starts to hand all homes over to their next candidates. */
  public void handOverAll() {
    controllers.values().forEach(GroupController::handOver);
  }

  /** Returns the groups that this proxy is currently the home of. */
  public List<GroupId> servedGroups() {
    return controllers.entrySet().stream()
        .filter(entry -> entry.getValue().rights().isHome(context.clock().instant()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns what this proxy knows of each group. */
  public List<GroupStatus> status() {
    return controllers.values().stream().map(GroupController::status).toList();
  }

  /** Returns the number of open transactions at the homes of this proxy. */
  public int openTransactionCount() {
    return controllers.values().stream()
        .mapToInt(controller -> controller.resources().transactions().count())
        .sum();
  }

  /** Rolls back a transaction whose client has disconnected. */
  public void rollBack(GroupId group, long transaction, TransactionOwner owner) {
    Optional.ofNullable(controllers.get(group))
        .ifPresent(
            controller -> controller.resources().transactions().rollBack(transaction, owner));
  }

  /** Rolls back all transactions of an owner whose connection was lost. */
  public void rollBackAll(TransactionOwner owner) {
    controllers
        .values()
        .forEach(controller -> controller.resources().transactions().rollBackAllOf(owner));
  }

  @Override
  public void close() {
    controllers.values().forEach(GroupController::close);
  }
}
