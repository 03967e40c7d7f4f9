package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;

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

  private static LogCopies copies(boolean complete, LogCopy... copies) {
    return new LogCopies(Set.of(copies), Position.NONE, complete);
  }

  private static LogCopy copy(String address, long startedAt, boolean draining) {
    return new LogCopy(
        new EndpointId("x"), InetSocketAddress.createUnresolved(address, 1), startedAt, draining);
  }
}
