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

/** Runs the membership state machine of this VM: feeds its inputs and executes its actions. */
public final class MembershipService implements AutoCloseable {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);

  private final MembershipStateMachine machine;
  private final FleetState fleet;
  private final FleetSender sender;
  private final InstantSource clock;
  private final VmSource source;
  private final ExecutorService executor;
  private final Mailbox mailbox = new Mailbox(TICK_INTERVAL, this::tick);
  private Instant nextListRead = Instant.MIN;

  /** Creates a service that knows only this VM. */
  public MembershipService(
      PeerSettings self,
      FleetState fleet,
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
    // If the first view held only this VM, it would make itself the home of every group.
    mailbox.post(() -> step(new MembershipInput.VmListRead(source.seeds())));
    mailbox.start(executor);
  }

  /** Queues a message from another VM and returns immediately. */
  public void receive(MembershipMessage message) {
    mailbox.post(() -> step(new MembershipInput.Received(message)));
  }

  /** Announces to the other VMs that this VM is about to stop. */
  public void leave() {
    mailbox.post(() -> step(new MembershipInput.Leave()));
  }

  @Override
  public void close() {
    mailbox.close();
  }

  private void tick() {
    Instant now = clock.instant();
    if (!now.isBefore(nextListRead)) {
      nextListRead = now.plus(LIST_INTERVAL);
      executor.submit(this::readVmList);
    }
    step(new MembershipInput.Tick());
  }

  private void readVmList() {
    List<ListedVm> listed = new ArrayList<>(source.list());
    mailbox.post(() -> step(new MembershipInput.VmListRead(listed)));
  }

  private void step(MembershipInput input) {
    machine.step(input).forEach(this::execute);
  }

  private void execute(MembershipAction action) {
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
