package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.serving.FakeMember;

class ProxyLeaseTest {
  private static final VmId SELF = new VmId("self");

  private static final Set<GroupId> GROUPS = Set.of(new GroupId("lending"));

  private final PausedClock clock = new PausedClock();
  private final PausedClock wallClock = new PausedClock();
  private final FakeRecords records = new FakeRecords(clock);
  private final ProxyLease lease =
      new ProxyLease(FakeMember.on(SELF), records, records.eras, clock, wallClock);

  @Test
  void isNotHeldBeforeItsFirstRenewal() {
    assertFalse(lease.isHeld());
  }

  /** Guards against a lease that comes back while its proxy stops, and is then waited for. */
  @Test
  void isNotRenewedAfterItsRelease() {
    lease.renew(GROUPS);
    lease.release();

    // The first renewal finds out that the record is gone, the second would write it again.
    assertTrue(lease.renew(GROUPS).isLeft());
    assertTrue(lease.renew(GROUPS).isLeft());

    assertFalse(lease.isHeld());
    assertFalse(records.proxies.containsKey(SELF));
  }

  /** Guards against a record that stays because a renewal on its way was performed first. */
  @Test
  void recordIsRemovedAlsoAfterRenewalWithoutAnAnswer() {
    lease.renew(GROUPS);
    records.losesNextAnswer = true;
    lease.renew(GROUPS);
    records.performLateWrite();

    lease.release();

    assertFalse(records.proxies.containsKey(SELF));
  }

  @Test
  void staysValidDuringAnOutageOfTheStoreUntilItExpires() {
    lease.renew(GROUPS);
    records.down = true;

    advanceAllClocks(Duration.ofSeconds(13));
    assertTrue(lease.renew(GROUPS).isLeft());
    assertTrue(lease.isHeld());

    advanceAllClocks(Duration.ofSeconds(1));
    assertFalse(lease.isHeld());
  }

  @Test
  void isLostOnSuspensionOfTheMachineUntilRenewed() {
    lease.renew(GROUPS);

    wallClock.advance(Duration.ofSeconds(4));

    assertFalse(lease.isHeld());
    lease.renew(GROUPS);
    assertTrue(lease.isHeld());
  }

  @Test
  void isNotConsideredExpiredByOthersWhileItIsHeld() {
    lease.renew(GROUPS);
    ProxyRecord written = records.proxies.get(SELF);

    advanceAllClocks(ProxyLease.DURATION.minusMillis(1));

    assertTrue(lease.isHeld());
    assertFalse(ProxyLease.hasExpired(written, records.storeMillis));
  }

  @Test
  void listsTheOtherProxiesWithValidLeases() {
    lease.renew(GROUPS);
    VmId other = new VmId("other");
    records.proxies.put(other, new ProxyRecord(FakeMember.on(other), GROUPS, records.storeMillis));
    VmId dead = new VmId("dead");
    records.proxies.put(dead, new ProxyRecord(FakeMember.on(dead), GROUPS, 0));

    assertEquals(List.of(FakeMember.on(other)), lease.refreshStoreTime().get());
  }

  /** Guards against: nobody waits for this proxy, because the store has lost its lease record. */
  @Test
  void recordThatTheStoreHasLostIsWrittenAgain() {
    records.copy();
    lease.renew(GROUPS);

    records.comeBackFromCopy();
    assertTrue(lease.renew(GROUPS).isRight());

    assertTrue(records.proxies.containsKey(SELF));
  }

  @Test
  void proxiesThatTheStoreHasLostStayListedUntilTheyHaveRenewed() {
    records.copy();
    VmId other = new VmId("other");
    records.proxies.put(other, new ProxyRecord(FakeMember.on(other), GROUPS, records.storeMillis));
    lease.refreshStoreTime();

    records.comeBackFromCopy();
    assertEquals(List.of(FakeMember.on(other)), lease.refreshStoreTime().get());

    advanceAllClocks(Duration.ofSeconds(7));
    assertEquals(List.of(), lease.refreshStoreTime().get());
  }

  private void advanceAllClocks(Duration time) {
    clock.advance(time);
    wallClock.advance(time);
    records.storeMillis += time.toMillis();
  }
}
