package org.mimosacleat.serving.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.ObservedConnection;
import org.mimosacleat.serving.fleet.EndpointRole;

class PoolResizeTest {
  private static final Duration AT_ONCE = Duration.ofSeconds(2);

  private final PausedClock clock = new PausedClock();
  private final FakeEndpoint endpoint = new FakeEndpoint("i-1", EndpointRole.PRIMARY, 1);
  private boolean refuses;
  private Runnable onClose = () -> {};
  private final EndpointPool pool =
      new EndpointPool(endpoint.entry(), (_, _) -> dial(), clock, new PoolSize(3, true));

  /**
   * Guards against a borrower that takes all processor time and never ends its wait, after a
   * connection was refused while the pool was made smaller.
   */
  @Test
  void waitEndsAfterRefusalDuringResize() {
    List<BorrowedConnection> opened = List.of(borrow().get(), borrow().get(), borrow().get());
    opened.forEach(BorrowedConnection::release);
    onClose = this::borrowTwoAndBeRefused;
    pool.resize(new PoolSize(2, true));

    Either<Failure, BorrowedConnection> next = assertTimeoutPreemptively(AT_ONCE, this::borrow);

    assertEquals(ErrorKind.OVERLOADED, next.getLeft().kind());
  }

  private void borrowTwoAndBeRefused() {
    onClose = () -> {};
    refuses = true;
    final BorrowedConnection first = borrow().get();
    borrow();
    first.discard();
    borrow();
  }

  private Either<Failure, BorrowedConnection> borrow() {
    return pool.borrow(Optional.empty(), Map.of(), Urgency.NONE, clock.instant());
  }

  private Either<Failure, EndpointConnection> dial() {
    return refuses
        ? Either.left(new Failure(ErrorKind.TOO_MANY_CONNECTIONS, "scripted"))
        : Either.right(new ObservedConnection(endpoint.connect(), () -> onClose.run()));
  }
}
