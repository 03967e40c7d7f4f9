package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/** The groups that this proxy can be home of. It is the door to this package. */
public final class Homes implements AutoCloseable {
  private final Map<GroupId, RunningHome> homes;

  Homes(Map<GroupId, RunningHome> homes) {
    this.homes = Map.copyOf(homes);
  }

  /** Runs a batch and waits for its answer. */
  public Either<Failure, WorkAnswer> execute(WorkRequest request, WorkTicket ticket) {
    return Optional.ofNullable(homes.get(request.group()))
        .map(home -> home.home().execute(request, ticket))
        .orElseGet(
            () ->
                Either.left(
                    new Failure(
                        ErrorKind.UNKNOWN_GROUP,
                        "database group '" + request.group() + "' is not known")));
  }

  /** Rolls back a transaction whose caller has left. */
  public void abandon(long transaction, TransactionOwner owner) {
    homes.values().forEach(home -> home.home().abandon(transaction, owner));
  }

  /** Rolls back all transactions of an owner that was lost. */
  public void abandonAll(TransactionOwner owner) {
    homes.values().forEach(home -> home.home().abandonAll(owner));
  }

  @Override
  public void close() {
    homes.values().forEach(RunningHome::close);
  }
}
