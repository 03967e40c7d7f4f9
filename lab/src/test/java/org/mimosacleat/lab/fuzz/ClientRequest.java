package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.mimosacleat.core.error.Failure;

/** A client request: a write that must not be repeated, or a read in a session. */
final class ClientRequest {
  static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_ATTEMPTS = 4;

  private final String id;
  private final String session;
  private final boolean write;
  private final Instant issuedAt;
  private final Set<String> requiredWrites;
  private int attempts;
  private boolean done;

  ClientRequest(
      String id, String session, boolean write, Instant issuedAt, Set<String> requiredWrites) {
    this.id = id;
    this.session = session;
    this.write = write;
    this.issuedAt = issuedAt;
    this.requiredWrites = requiredWrites;
  }

  String id() {
    return id;
  }

  String session() {
    return session;
  }

  boolean isWrite() {
    return write;
  }

  Instant issuedAt() {
    return issuedAt;
  }

  Instant deadline() {
    return issuedAt.plus(TIMEOUT);
  }

  Set<String> requiredWrites() {
    return requiredWrites;
  }

  boolean isDone() {
    return done;
  }

  void finish() {
    done = true;
  }

  /** Counts an attempt and returns whether another one is allowed. */
  boolean countAttempt() {
    attempts++;
    return attempts < MAX_ATTEMPTS;
  }

  /** An attempt of the request at one proxy; only its first result counts. */
  static final class Attempt {
    private final ClientRequest request;
    private final GroupSimulation simulation;
    private boolean ended;
    private boolean sent;

    Attempt(ClientRequest request, GroupSimulation simulation) {
      this.request = request;
      this.simulation = simulation;
    }

    ClientRequest request() {
      return request;
    }

    boolean isEnded() {
      return ended;
    }

    boolean isSent() {
      return sent;
    }

    void markSent() {
      sent = true;
    }

    void fail(Failure failure) {
      if (!ended) {
        ended = true;
        simulation.onAttemptFailed(request, failure);
      }
    }

    void succeed(Runnable onSuccess) {
      if (!ended) {
        ended = true;
        request.finish();
        onSuccess.run();
      }
    }
  }
}
