package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.tinylog.Logger;

/** Asks several endpoints at once for their status. */
final class EndpointSurvey {
  private final EndpointAdministration administration;
  private final ExecutorService executor;

  EndpointSurvey(EndpointAdministration administration, ExecutorService executor) {
    this.administration = administration;
    this.executor = executor;
  }

  /** Returns those that have answered. */
  List<Candidate> ask(List<EndpointEntry> entries) {
    List<Future<Either<Failure, EndpointStatus>>> asked = new ArrayList<>();
    for (EndpointEntry entry : entries) {
      asked.add(executor.submit(() -> administration.status(entry)));
    }
    List<Candidate> answered = new ArrayList<>();
    for (int index = 0; index < entries.size(); index++) {
      EndpointEntry entry = entries.get(index);
      await(asked.get(index))
          .peek(status -> answered.add(new Candidate(entry, status)))
          .peekLeft(
              failure -> Logger.info("no status of endpoint {}: {}", entry.id(), failure.detail()));
    }
    return answered;
  }

  private static Either<Failure, EndpointStatus> await(
      Future<Either<Failure, EndpointStatus>> future) {
    try {
      return future.get();
    } catch (ExecutionException broken) {
      throw new IllegalStateException("asking for a status has failed", broken);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while asking for a status", interrupted);
    }
  }
}
