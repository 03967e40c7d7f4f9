package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;

class ProxyLeaseTest {
  private static final VmId SELF = new VmId("self");

  private final PausedClock clock = new PausedClock();
  private final PausedClock wallClock = new PausedClock();
  private final FakeRecords records = new FakeRecords();
  private final ProxyLease lease = new ProxyLease(SELF, records, clock, wallClock);

  @Test
  void isNotHeldBeforeItsFirstRenewal() {
    assertFalse(lease.isHeld());
  }

  @Test
  void staysValidDuringAnOutageOfTheStoreUntilItExpires() {
    lease.renew();
    records.down = true;

    advanceAllClocks(Duration.ofSeconds(13));
    assertTrue(lease.renew().isLeft());
    assertTrue(lease.isHeld());

    advanceAllClocks(Duration.ofSeconds(1));
    assertFalse(lease.isHeld());
  }

  @Test
  void isLostOnSuspensionOfTheMachineUntilRenewed() {
    lease.renew();

    wallClock.advance(Duration.ofSeconds(4));

    assertFalse(lease.isHeld());
    lease.renew();
    assertTrue(lease.isHeld());
  }

  @Test
  void isNotConsideredExpiredByOthersWhileItIsHeld() {
    lease.renew();
    ProxyRecord written = records.proxies.get(SELF);

    advanceAllClocks(ProxyLease.DURATION.minusMillis(1));

    assertTrue(lease.isHeld());
    assertFalse(ProxyLease.hasExpired(written, records.storeMillis));
  }

  @Test
  void countsTheProxiesWithValidLeases() {
    lease.renew();
    VmId other = new VmId("other");
    records.proxies.put(other, new ProxyRecord(other, records.storeMillis));
    VmId dead = new VmId("dead");
    records.proxies.put(dead, new ProxyRecord(dead, 0));

    assertEquals(2, lease.refreshStoreTime().get());
  }

  private void advanceAllClocks(Duration time) {
    clock.advance(time);
    wallClock.advance(time);
    records.storeMillis += time.toMillis();
  }
}
