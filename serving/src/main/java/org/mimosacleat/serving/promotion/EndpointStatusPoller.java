package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.tinylog.Logger;

/**
 * Queries the status of several endpoints concurrently. What an endpoint does not answer is logged
 * once until it answers again.
 */
final class EndpointStatusPoller {
  private final EndpointAdministration administration;
  private final ExecutorService executor;
  private final Set<EndpointId> silent = new HashSet<>();

  EndpointStatusPoller(EndpointAdministration administration, ExecutorService executor) {
    this.administration = administration;
    this.executor = executor;
  }

  /** Returns the endpoints that answered, in the given order. */
  List<Candidate> poll(List<EndpointEntry> entries) {
    List<Future<Either<Failure, EndpointStatus>>> pending = new ArrayList<>();
    for (EndpointEntry entry : entries) {
      pending.add(executor.submit(() -> administration.status(entry)));
    }
    List<Candidate> candidates = new ArrayList<>();
    for (int index = 0; index < entries.size(); index++) {
      EndpointEntry entry = entries.get(index);
      await(pending.get(index))
          .peek(status -> candidates.add(new Candidate(entry, status)))
          .peek(_ -> silent.remove(entry.id()))
          .peekLeft(failure -> logOnce(entry.id(), failure));
    }
    return candidates;
  }

  private void logOnce(EndpointId endpoint, Failure failure) {
    if (silent.add(endpoint)) {
      Logger.info("no status from endpoint {}: {}; ignoring it", endpoint, failure.detail());
    }
  }

  private static Either<Failure, EndpointStatus> await(
      Future<Either<Failure, EndpointStatus>> future) {
    try {
      return future.get();
    } catch (ExecutionException failed) {
      throw new IllegalStateException("endpoint status query failed unexpectedly", failed);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(
          "interrupted while waiting for an endpoint status", interrupted);
    }
  }
}
