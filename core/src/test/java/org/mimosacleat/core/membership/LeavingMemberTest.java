package org.mimosacleat.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

class LeavingMemberTest {
  private static final VmId SELF = new VmId("vm-1");
  private static final VmId OTHER = new VmId("vm-2");
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  private final MemberTable table = new MemberTable(record(SELF, MemberStatus.ALIVE), NOW);

  @Test
  void leavingVmThatStopsRespondingIsDead() {
    table.merge(record(OTHER, MemberStatus.ALIVE), NOW);
    table.merge(record(OTHER, MemberStatus.LEAVING), NOW);

    table.merge(record(OTHER, MemberStatus.SUSPECT), NOW);

    assertEquals(MemberStatus.DEAD, table.get(OTHER).record().status());
  }

  @Test
  void vmThatStopsRespondingWithoutLeavingIsSuspected() {
    table.merge(record(OTHER, MemberStatus.ALIVE), NOW);

    table.merge(record(OTHER, MemberStatus.SUSPECT), NOW);

    assertEquals(MemberStatus.SUSPECT, table.get(OTHER).record().status());
  }

  private static MemberRecord record(VmId vm, MemberStatus status) {
    return new MemberRecord(vm, new AvailabilityZone("tamaki"), "127.0.0.1:1", 1, status, vm);
  }
}
