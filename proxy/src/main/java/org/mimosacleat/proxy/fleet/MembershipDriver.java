package org.mimosacleat.proxy.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.membership.ListedVm;
import org.mimosacleat.core.membership.MemberRecord;
import org.mimosacleat.core.membership.MemberStatus;
import org.mimosacleat.core.membership.MembershipAction;
import org.mimosacleat.core.membership.MembershipInput;
import org.mimosacleat.core.membership.MembershipMessage;
import org.mimosacleat.core.membership.MembershipStateMachine;
import org.mimosacleat.core.membership.MembershipTimes;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.proxy.concurrent.Mailbox;
import org.mimosacleat.proxy.settings.PeerSettings;
import org.mimosacleat.wire.fleet.MembershipMessageCodec;
import org.tinylog.Logger;

/** Feeds the membership machine of this VM and carries out its actions. */
public final class MembershipDriver implements AutoCloseable {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);

  private final MembershipStateMachine machine;
  private final LiveFleet fleet;
  private final FleetSender sender;
  private final InstantSource clock;
  private final VmSource source;
  private final ExecutorService executor;
  private final Mailbox mailbox = new Mailbox(TICK, this::tick);
  private Instant nextListing = Instant.MIN;

  /** Makes a driver that has seen nothing yet. */
  public MembershipDriver(
      PeerSettings self,
      LiveFleet fleet,
      FleetSender sender,
      VmSource source,
      InstantSource clock,
      RandomGenerator random,
      ExecutorService executor) {
    this.fleet = fleet;
    this.sender = sender;
    this.clock = clock;
    this.source = source;
    this.executor = executor;
    this.machine =
        new MembershipStateMachine(
            new MemberRecord(
                self.id(),
                self.zone(),
                AddressType.format(self.address()),
                clock.instant().toEpochMilli(),
                MemberStatus.ALIVE,
                self.id()),
            clock,
            random,
            MembershipTimes.STANDARD);
  }

  /** Starts to probe and to gossip. */
  public void start() {
    // The first view must not be of this VM alone, or it would take every home.
    mailbox.post(() -> step(new MembershipInput.VmListRead(source.seeds())));
    mailbox.start(executor);
  }

  /** Takes in a message; does not wait. */
  public void received(MembershipMessage message) {
    mailbox.post(() -> step(new MembershipInput.Received(message)));
  }

  /** Tells the others that this VM is about to stop. */
  public void leave() {
    mailbox.post(() -> step(new MembershipInput.Leave()));
  }

  @Override
  public void close() {
    mailbox.close();
  }

  private void tick() {
    Instant now = clock.instant();
    if (!now.isBefore(nextListing)) {
      nextListing = now.plus(LIST_INTERVAL);
      executor.submit(this::readList);
    }
    step(new MembershipInput.Tick());
  }

  private void readList() {
    List<ListedVm> listed = new ArrayList<>(source.list());
    mailbox.post(() -> step(new MembershipInput.VmListRead(listed)));
  }

  private void step(MembershipInput input) {
    machine.step(input).forEach(this::carryOut);
  }

  private void carryOut(MembershipAction action) {
    switch (action) {
      case MembershipAction.Send send ->
          sender.send(
              send.to(), FleetChannel.MEMBERS, () -> MembershipMessageCodec.encode(send.message()));
      case MembershipAction.ViewChanged changed -> {
        fleet.update(changed.view());
        changed.explanations().forEach(line -> Logger.info("members: {}", line));
      }
    }
  }
}
