package org.mimosacleat.standin.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;

class InstanceStateTest {
  private static final String PRIMARY = "host=primary";
  private static final Term FENCE = new Term(4);

  private final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final InstanceState primary = new InstanceState(clock);
  private final InstanceState replica = new InstanceState(clock);

  @BeforeEach
  void startBoth() throws SqlStateException {
    primary.start();
    replica.start();
    replica.setFence(FENCE);
    replica.setUpstream(PRIMARY);
    replica.reload();
  }

  @Test
  void fencedReplicaAcceptsRecordsOfUnservedEarlierTerms() throws SqlStateException {
    promoteToTerm(new Term(2));
    promoteToTerm(FENCE);

    List<LogRecord> missing = primary.recordsAfter(replica.lastRecord());

    assertEquals(2, missing.size());
    for (LogRecord record : missing) {
      assertTrue(replica.receive(record, clock.instant(), PRIMARY, FENCE));
    }
    assertEquals(FENCE, replica.lastRecord().position().term());
  }

  @Test
  void fencedReplicaRejectsRecordFromPrimaryOfEarlierTerm() throws SqlStateException {
    promoteToTerm(new Term(3));

    LogRecord record = primary.lastRecord();

    assertFalse(replica.receive(record, clock.instant(), PRIMARY, new Term(3)));
  }

  private void promoteToTerm(Term term) throws SqlStateException {
    primary.setUpstream("host=nobody");
    primary.reload();
    primary.setFence(term);
    primary.promote();
  }
}
