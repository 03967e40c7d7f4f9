package org.mimosacleat.serving.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Outcome;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.statement.Answer;

/** The use of a primary ends while a statement waits for a connection to it. */
class StoppedPrimaryTest {
  private final ServingFixture proxy = new ServingFixture();
  private final Session session = proxy.session(ServingFixture.LATEST);

  /** Guards against a write at a primary that this proxy has confirmed to have stopped using. */
  @Test
  void writeIsNotSentToPrimaryThatIsBeingReplaced() {
    proxy.whileDialing = this::stopUsingPrimary;

    assertNotRun(proxy.write(session));
  }

  /** Guards against a read that misses the writes of a new primary. */
  @Test
  void readIsNotSentToPrimaryThatIsBeingReplaced() {
    proxy.whileDialing = this::stopUsingPrimary;

    assertNotRun(proxy.read(session));
  }

  /** Guards against a transaction at a primary that this proxy has stopped using. */
  @Test
  void transactionDoesNotBeginAtPrimaryThatIsBeingReplaced() {
    proxy.whileDialing = this::stopUsingPrimary;
    proxy.begin(session, false);

    assertNotRun(proxy.write(session));
  }

  /** Guards against a write after the end of the lease, for which a replacement does not wait. */
  @Test
  void writeIsNotSentOnceTheLeaseHasEnded() {
    proxy.whileDialing = () -> proxy.canUsePrimaries = false;

    assertNotRun(proxy.write(session));
  }

  private void stopUsingPrimary() {
    proxy.groupState().pause(new Term(1));
    Optional<EndpointPool> pool = proxy.pools.find(proxy.primary.id());
    pool.orElseThrow().closeAll();
  }

  private void assertNotRun(Answer answer) {
    ErrorKind kind = answer.failure().orElseThrow().kind();
    assertEquals(Outcome.NOT_RUN, kind.outcome(), answer.toString());
    List<EndpointCommand> sent = proxy.primary.commands;
    assertTrue(sent.isEmpty(), sent.toString());
  }
}
