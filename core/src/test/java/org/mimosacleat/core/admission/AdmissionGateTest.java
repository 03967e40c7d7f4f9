package org.mimosacleat.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.time.PausedClock;

class AdmissionGateTest {
  private static final CustomerId CUSTOMER = new CustomerId("k");

  private final PausedClock clock = new PausedClock();
  private final AdmissionController gate = new AdmissionController(clock);

  @Test
  void customerWithoutShareIsRefusedAsNotRun() {
    assertEquals(ErrorKind.OVER_ALLOWANCE, gate.admit(CUSTOMER).getLeft().kind());
  }

  @Test
  void closingPermitTwiceReleasesOnlyOneStatement() {
    gate.setShare(CUSTOMER, Resource.CONCURRENT_STATEMENTS, 2);
    gate.setShare(CUSTOMER, Resource.STATEMENTS_PER_SECOND, 1000);
    clock.advance(Duration.ofSeconds(1));
    final Permit first = gate.admit(CUSTOMER).get();
    gate.admit(CUSTOMER).get();
    first.close();
    first.close();

    assertTrue(gate.admit(CUSTOMER).isRight());
    assertTrue(gate.admit(CUSTOMER).isLeft());
  }

  @Test
  void refusedConnectionsCountAsDemand() {
    gate.setShare(CUSTOMER, Resource.CONNECTIONS, 1);
    gate.admitConnection(CUSTOMER);
    gate.admitConnection(CUSTOMER);
    gate.admitConnection(CUSTOMER);

    assertEquals(3, gate.getAndResetDemand(CUSTOMER, Resource.CONNECTIONS));
    assertEquals(1, gate.getAndResetDemand(CUSTOMER, Resource.CONNECTIONS));
  }
}
