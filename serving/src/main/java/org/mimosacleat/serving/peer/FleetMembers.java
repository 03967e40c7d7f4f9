package org.mimosacleat.serving.peer;

import java.net.InetAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.VmId;

/** The proxies of the fleet that hold a lease, this one included. */
public final class FleetMembers {
  private final FleetMember self;
  private final AtomicReference<Map<VmId, FleetMember>> members;
  private final CountDownLatch known = new CountDownLatch(1);

  /** Creates a fleet that consists of this proxy alone. */
  public FleetMembers(FleetMember self) {
    this.self = self;
    this.members = new AtomicReference<>(Map.of(self.vm(), self));
  }

  /** Returns this proxy. */
  public FleetMember self() {
    return self;
  }

  /** Replaces the members; this proxy remains one. Returns whether the members have changed. */
  public boolean replace(Collection<FleetMember> current) {
    Map<VmId, FleetMember> byVm =
        current.stream()
            .filter(member -> !member.vm().equals(self.vm()))
            .collect(Collectors.toMap(FleetMember::vm, Function.identity(), (first, _) -> first));
    byVm.put(self.vm(), self);
    Map<VmId, FleetMember> next = Map.copyOf(byVm);
    known.countDown();
    return !members.getAndSet(next).equals(next);
  }

  /** Returns whether the members have been read at least once. */
  public boolean areKnown() {
    return known.getCount() == 0;
  }

  /** Waits until the members have been read; returns false if that takes longer than a time. */
  boolean awaitKnown(Duration limit) throws InterruptedException {
    return known.await(limit.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Returns all members. */
  public Collection<FleetMember> all() {
    return members.get().values();
  }

  /** Returns the member on a VM. */
  public Optional<FleetMember> find(VmId vm) {
    return Optional.ofNullable(members.get().get(vm));
  }

  /** Returns whether a member has this IP address. */
  public boolean hasAddress(InetAddress address) {
    return all().stream().anyMatch(member -> member.address().getAddress().equals(address));
  }
}
