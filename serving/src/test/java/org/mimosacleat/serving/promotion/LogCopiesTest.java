package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

class LogCopiesTest {
  private static final LogCopy COPY = copy("here", 17, false);
  private static final LogCopies COPIES = copies(false, COPY);

  /** Guards against proxies that each replace what the other has recorded, and miss its copies. */
  @Test
  void copyIsTheSameAtWhateverAddressItIsReached() {
    assertEquals(COPIES, COPIES.with(List.of(copy("there", 17, false))));
  }

  @Test
  void endpointThatStartsAgainHasAnotherCopy() {
    LogCopy next = copy("here", 18, false);

    assertEquals(copies(false, COPY, next), COPIES.with(List.of(next)));
  }

  @Test
  void copyThatDrainsIsRememberedAsDraining() {
    LogCopies draining = COPIES.with(List.of(copy("there", 17, true)));

    assertEquals(copies(false, copy("here", 17, true)), draining);
    assertEquals(draining, draining.with(List.of(COPY)));
  }

  @Test
  void nothingIsAddedOnceTheCopiesAreComplete() {
    LogCopies complete = copies(true, COPY);

    assertEquals(complete, complete.with(List.of(copy("here", 18, false))));
  }

  /**
   * Guards against an endpoint that has taken a log over, and lost it, and is believed to have it.
   */
  @Test
  void laterStartOfSuccessorDoesNotHaveTheLog() {
    LogCopies draining = copies(true, copy("here", 17, true));

    LogCopy succeeded =
        draining
            .with(List.of(successor(20)))
            .with(List.of(successor(21)))
            .copies()
            .iterator()
            .next();

    assertTrue(succeeded.isPassedOnTo(successor(20)));
    assertFalse(succeeded.isPassedOnTo(successor(21)));
  }

  private static LogCopy successor(long startedAt) {
    return new LogCopy(new EndpointId("y"), COPY.address(), startedAt, false, 0);
  }

  private static LogCopies copies(boolean complete, LogCopy... copies) {
    return new LogCopies(Set.of(copies), Position.NONE, complete);
  }

  private static LogCopy copy(String address, long startedAt, boolean draining) {
    return new LogCopy(
        new EndpointId("x"),
        InetSocketAddress.createUnresolved(address, 1),
        startedAt,
        draining,
        0);
  }
}
