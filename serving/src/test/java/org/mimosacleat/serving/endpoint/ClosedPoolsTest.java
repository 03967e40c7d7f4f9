package org.mimosacleat.serving.endpoint;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.EndpointRole;

/** All connections to an endpoint are closed, also those of a pool that is no longer listed. */
class ClosedPoolsTest {
  private final ServingFixture proxy = new ServingFixture();
  private final BorrowedConnection borrowed =
      proxy
          .pools
          .find(proxy.primary.id())
          .orElseThrow()
          .borrow(Optional.empty(), Map.of(), Urgency.NONE, proxy.clock.instant())
          .get();

  private boolean answers() {
    CommandResult result =
        borrowed.run(
            Map.of(),
            Optional.empty(),
            List.of(new EndpointCommand.Status()),
            proxy.clock.instant());
    return result instanceof CommandResult.Answered;
  }

  /**
   * Guards against a transaction that goes on at a primary that left the list, after this proxy has
   * confirmed that it uses the primary no longer.
   */
  @Test
  void connectionsToAnEndpointThatLeftTheListAreClosed() {
    proxy.pools.remove(proxy.primary.id());
    assertTrue(answers());

    proxy.pools.closeAll(proxy.primary.id());

    assertFalse(answers());
  }

  /** Guards against the same for an endpoint that started again under its id. */
  @Test
  void connectionsToAnEarlierRunOfAnEndpointAreClosed() {
    proxy.pools.put(new FakeEndpoint("p", EndpointRole.PRIMARY, 99).entry());

    proxy.pools.closeAll(proxy.primary.id());

    assertFalse(answers());
  }

  @Test
  void connectionsToListedEndpointsAreClosed() {
    proxy.pools.closeAll(proxy.primary.id());

    assertFalse(answers());
  }
}
