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
  private final Map<GroupId, GroupAgent> agents;

  private Homes(HomeContext context, Map<GroupId, GroupAgent> agents) {
    this.context = context;
    this.agents = Map.copyOf(agents);
  }

  /** Makes the agents of all groups; {@link #start} sets them to work. */
  public static Homes of(List<GroupSettings> groups, HomeContext context) {
    Map<GroupId, GroupAgent> agents = new LinkedHashMap<>();
    for (GroupSettings group : groups) {
      agents.put(
          group.id(), new GroupAgent(group.id(), context, new GroupPartsFactory(group, context)));
    }
    return new Homes(context, agents);
  }

  /** Starts to seek homes and to watch those of others. */
  public void start() {
    agents.values().forEach(GroupAgent::start);
  }

  /** Runs a batch and waits for its answer. */
  public Either<Failure, WorkAnswer> execute(WorkRequest request, WorkTicket ticket) {
    return Optional.ofNullable(agents.get(request.group()))
        .map(agent -> agent.execute(request, ticket))
        .orElseGet(
            () ->
                Either.left(
                    new Failure(
                        ErrorKind.UNKNOWN_GROUP,
                        "database group '" + request.group() + "' is not known")));
  }

  /** Takes in a message about a home. */
  public void received(VmId sender, HomeMessage message) {
    Optional.ofNullable(agents.get(message.group()))
        .ifPresent(agent -> agent.received(sender, message));
  }

  /** Takes in which endpoints the platform lists as leaving. */
  public void endpointsListed(Instant askedAt, Set<EndpointId> leaving) {
    agents.values().forEach(agent -> agent.endpointsListed(askedAt, leaving));
  }

  /** Hands all homes over to their next candidates. */
  public void handOverAll() {
    agents.values().forEach(GroupAgent::handOver);
  }

  /** Returns the groups that this proxy serves now. */
  public List<GroupId> served() {
    return agents.entrySet().stream()
        .filter(entry -> entry.getValue().rights().isHome(context.clock().instant()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns what this proxy knows of each group. */
  public List<GroupStatus> status() {
    return agents.values().stream().map(GroupAgent::status).toList();
  }

  /** Returns how many transactions are open here. */
  public int openTransactions() {
    return agents.values().stream().mapToInt(agent -> agent.parts().transactions().count()).sum();
  }

  /** Rolls back a transaction whose caller has left. */
  public void abandon(GroupId group, long transaction, TransactionOwner owner) {
    Optional.ofNullable(agents.get(group))
        .ifPresent(agent -> agent.parts().transactions().abandon(transaction, owner));
  }

  /** Rolls back all transactions of an owner that was lost. */
  public void abandonAll(TransactionOwner owner) {
    agents.values().forEach(agent -> agent.parts().transactions().abandonAll(owner));
  }

  @Override
  public void close() {
    agents.values().forEach(GroupAgent::close);
  }
}
