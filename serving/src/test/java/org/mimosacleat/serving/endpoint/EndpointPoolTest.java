package org.mimosacleat.serving.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;

class EndpointPoolTest {
  private static final int MOST_LINKS = 3;
  private static final Duration LIFETIME = Duration.ofMillis(250);

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final FakeEndpoint endpoint = new FakeEndpoint("i-1", EndpointRole.PRIMARY, 1);
  private final LimitedDialer dialer = new LimitedDialer();
  private final EndpointPool pool = new EndpointPool(endpoint.entry(), dialer, clock, MOST_LINKS);

  @Test
  void waitsForOpenConnectionOnceNoMoreAreTaken() {
    dialer.limit = 1;
    final LeasedLink first = lease(0).get();
    assertEquals(ErrorKind.TOO_MANY_CONNECTIONS, lease(0).getLeft().kind());

    assertEquals(ErrorKind.OVERLOADED, lease(0).getLeft().kind());
    assertEquals(2, dialer.asked);

    first.release();
    assertTrue(lease(0).isRight());
    assertEquals(2, dialer.asked);
  }

  @Test
  void opensFurtherConnectionsSomeTimeAfterOneWasRefused() {
    dialer.limit = 1;
    lease(0);
    lease(0);
    dialer.limit = MOST_LINKS;

    clock.advance(LIFETIME);

    assertTrue(lease(0).isRight());
  }

  @Test
  void stillOffersOpenConnectionOfEndpointThatTakesNoMore() {
    dialer.limit = 1;
    lease(0);
    lease(0);

    assertTrue(!pool.health().isSuspect());
  }

  @Test
  void givesFreedConnectionToTheMostUrgent() {
    dialer.limit = 1;
    pool.resize(1);
    LeasedLink first = lease(0).get();
    CompletableFuture<Either<Failure, LeasedLink>> patient = waiting(2, 1);
    CompletableFuture<Either<Failure, LeasedLink>> urgent = waiting(1, 2);

    first.release();

    assertTrue(urgent.join().isRight());
    assertTrue(!patient.isDone());
    urgent.join().get().release();
    assertTrue(patient.join().isRight());
  }

  private Either<Failure, LeasedLink> lease(int priority) {
    return pool.lease(Map.of(), urgency(priority), clock.instant());
  }

  private CompletableFuture<Either<Failure, LeasedLink>> waiting(int priority, int waiters) {
    Instant until = clock.instant().plusSeconds(60);
    CompletableFuture<Either<Failure, LeasedLink>> lease =
        CompletableFuture.supplyAsync(() -> pool.lease(Map.of(), urgency(priority), until));
    while (pool.waiting() < waiters) {
      Thread.onSpinWait();
    }
    return lease;
  }

  private Urgency urgency(int priority) {
    return new Urgency(priority, clock.instant().plusMillis(100));
  }

  /** Opens a limited number of connections. */
  private final class LimitedDialer implements EndpointDialer {
    private int limit;
    private int asked;

    @Override
    public Either<Failure, EndpointLink> dial(EndpointEntry entry) {
      asked++;
      return asked <= limit
          ? Either.right(endpoint.connect())
          : Either.left(new Failure(ErrorKind.TOO_MANY_CONNECTIONS, entry.id().value()));
    }
  }
}
