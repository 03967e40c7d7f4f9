package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.mimosacleat.core.error.Failure;

/** One request of a client: a write that must not be repeated, or a read of its session. */
final class ClientRequest {
  static final Duration DEADLINE = Duration.ofSeconds(2);
  private static final int MOST_ATTEMPTS = 4;

  private final String id;
  private final String session;
  private final boolean write;
  private final Instant issuedAt;
  private final Set<String> required;
  private int attempts;
  private boolean done;

  ClientRequest(String id, String session, boolean write, Instant issuedAt, Set<String> required) {
    this.id = id;
    this.session = session;
    this.write = write;
    this.issuedAt = issuedAt;
    this.required = required;
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
    return issuedAt.plus(DEADLINE);
  }

  Set<String> required() {
    return required;
  }

  boolean isDone() {
    return done;
  }

  void finish() {
    done = true;
  }

  /** Counts an attempt, and tells whether one more is left after it. */
  boolean countAttempt() {
    attempts++;
    return attempts < MOST_ATTEMPTS;
  }

  /** One try of the request at one proxy; its first end counts, whatever arrives later. */
  static final class Attempt {
    private final ClientRequest request;
    private final World world;
    private boolean ended;
    private boolean sent;

    Attempt(ClientRequest request, World world) {
      this.request = request;
      this.world = world;
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
        world.attemptFailed(request, failure);
      }
    }

    void succeed(Runnable record) {
      if (!ended) {
        ended = true;
        request.finish();
        record.run();
      }
    }
  }
}
