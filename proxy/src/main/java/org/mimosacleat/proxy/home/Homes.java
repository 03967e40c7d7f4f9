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
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/** The groups that this proxy is home of, or may become home of. It is the door to this package. */
public final class Homes implements AutoCloseable {
  private final HomeContext context;
  private final Map<GroupId, GroupController> controllers;

  private Homes(HomeContext context, Map<GroupId, GroupController> controllers) {
    this.context = context;
    this.controllers = Map.copyOf(controllers);
  }

  /** Makes the agents of all groups; {@link #start} sets them to work. */
  public static Homes of(List<GroupSettings> groups, HomeContext context) {
    Map<GroupId, GroupController> controllers = new LinkedHashMap<>();
    for (GroupSettings group : groups) {
      controllers.put(
          group.id(), new GroupController(group.id(), context, new GroupResourcesFactory(group, context)));
    }
    return new Homes(context, controllers);
  }

  /** Starts to seek homes and to watch those of others. */
  public void start() {
    controllers.values().forEach(GroupController::start);
  }

  /** Runs a batch and waits for its answer. */
  public Either<Failure, WorkAnswer> execute(WorkRequest request, WorkTicket ticket) {
    return Optional.ofNullable(controllers.get(request.group()))
        .map(controller -> controller.execute(request, ticket))
        .orElseGet(
            () ->
                Either.left(
                    new Failure(
                        ErrorKind.UNKNOWN_GROUP,
                        "database group '" + request.group() + "' is not known")));
  }

  /** Takes in a message about a home. */
  public void received(VmId sender, HomeMessage message) {
    Optional.ofNullable(controllers.get(message.group()))
        .ifPresent(controller -> controller.receive(sender, message));
  }

  /** Takes in which endpoints the platform lists as leaving. */
  public void endpointsListed(Instant askedAt, Set<EndpointId> leaving) {
    controllers.values().forEach(controller -> controller.updateLeavingEndpoints(askedAt, leaving));
  }

  /** Hands all homes over to their next candidates. */
  public void handOverAll() {
    controllers.values().forEach(GroupController::handOver);
  }

  /** Returns the groups that this proxy serves now. */
  public List<GroupId> served() {
    return controllers.entrySet().stream()
        .filter(entry -> entry.getValue().rights().isHome(context.clock().instant()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns what this proxy knows of each group. */
  public List<GroupStatus> status() {
    return controllers.values().stream().map(GroupController::status).toList();
  }

  /** Returns how many transactions are open here. */
  public int openTransactions() {
    return controllers.values().stream().mapToInt(controller -> controller.resources().transactions().count()).sum();
  }

  /** Rolls back a transaction whose caller has left. */
  public void abandon(GroupId group, long transaction, TransactionOwner owner) {
    Optional.ofNullable(controllers.get(group))
        .ifPresent(controller -> controller.resources().transactions().rollBack(transaction, owner));
  }

  /** Rolls back all transactions of an owner that was lost. */
  public void abandonAll(TransactionOwner owner) {
    controllers.values().forEach(controller -> controller.resources().transactions().rollBackAllOf(owner));
  }

  @Override
  public void close() {
    controllers.values().forEach(GroupController::close);
  }
}
