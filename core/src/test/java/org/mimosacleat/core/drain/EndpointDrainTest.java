package org.mimosacleat.core.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.EndpointId;

class EndpointDrainTest {
  private static final EndpointId ENDPOINT = new EndpointId("lending-2");
  private static final Instant START = Instant.EPOCH;

  private final EndpointDrain drain = new EndpointDrain();

  @Test
  void leavingEndpointGetsNoNewWorkAndIsReportedEmptyWhenItsWorkEnds() {
    drain.step(new EndpointDrainInput.Started(ENDPOINT));

    assertEquals(
        List.of(new EndpointDrainAction.CloseIdle(ENDPOINT)), readList(Set.of(ENDPOINT), START));
    assertFalse(drain.acceptsNewWork(ENDPOINT));
    assertEquals(
        List.of(new EndpointDrainAction.Drained(ENDPOINT)),
        drain.step(new EndpointDrainInput.Finished(ENDPOINT)));
  }

  @Test
  void outdatedAnswerDoesNotMakeTheEndpointAvailableAgain() {
    readList(Set.of(ENDPOINT), START.plusSeconds(2));

    assertEquals(List.of(), readList(Set.of(), START.plusSeconds(1)));
    assertFalse(drain.acceptsNewWork(ENDPOINT));
    readList(Set.of(), START.plusSeconds(3));
    assertTrue(drain.acceptsNewWork(ENDPOINT));
  }

  private List<EndpointDrainAction> readList(Set<EndpointId> leaving, Instant askedAt) {
    return drain.step(new EndpointDrainInput.ListRead(leaving, askedAt));
  }
}
