package org.mimosacleat.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.time.PausedClock;

class AdmissionControllerTest {
  private static final TeamId CUSTOMER = new TeamId("k");

  private final PausedClock clock = new PausedClock();
  private final AdmissionController controller = new AdmissionController(clock);

  @Test
  void customerWithoutShareIsRefusedAsNotRun() {
    assertEquals(ErrorKind.OVER_ALLOWANCE, controller.admit(CUSTOMER).getLeft().kind());
  }

  @Test
  void closingPermitTwiceReleasesOnlyOneStatement() {
    controller.setShare(CUSTOMER, Resource.CONCURRENT_STATEMENTS, 2);
    controller.setShare(CUSTOMER, Resource.STATEMENTS_PER_SECOND, 1000);
    clock.advance(Duration.ofSeconds(1));
    final Permit first = controller.admit(CUSTOMER).get();
    controller.admit(CUSTOMER).get();
    first.close();
    first.close();

    assertTrue(controller.admit(CUSTOMER).isRight());
    assertTrue(controller.admit(CUSTOMER).isLeft());
  }

  /** Guards against a first statement that is refused because it came with the first shares. */
  @Test
  void customerIsReadyOnceItsFirstStatementIsAdmitted() {
    for (Resource resource : Resource.values()) {
      assertFalse(controller.isReady(CUSTOMER));
      controller.setShare(CUSTOMER, resource, 100);
    }

    assertFalse(controller.isReady(CUSTOMER));
    assertTrue(controller.admit(CUSTOMER).isLeft());
    clock.advance(Duration.ofMillis(11));
    assertTrue(controller.isReady(CUSTOMER));
    assertTrue(controller.admit(CUSTOMER).isRight());
  }

  @Test
  void refusedConnectionsCountAsDemand() {
    controller.setShare(CUSTOMER, Resource.CONNECTIONS, 1);
    controller.admitConnection(CUSTOMER);
    controller.admitConnection(CUSTOMER);
    controller.admitConnection(CUSTOMER);

    assertEquals(3, controller.getAndResetDemand(CUSTOMER, Resource.CONNECTIONS));
    assertEquals(1, controller.getAndResetDemand(CUSTOMER, Resource.CONNECTIONS));
  }
}
