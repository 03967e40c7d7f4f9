package org.mimosacleat.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/** The members that one VM knows, and the rules by which their records replace each other. */
final class MemberTable {
  private static final int ZONES_TO_CONFIRM_SUSPICION = 2;

  private final Map<VmId, MemberEntry> entries = new HashMap<>();
  private final Set<VmId> suspectedVms = new HashSet<>();
  private final Set<VmId> deadVms = new HashSet<>();
  private final UpdateQueue updates = new UpdateQueue();
  private final List<String> explanations = new ArrayList<>();
  private final VmId self;
  private boolean changed = true;

  MemberTable(MemberRecord self, Instant now) {
    this.self = self.vm();
    entries.put(self.vm(), new MemberEntry(self, now));
    updates.add(self);
  }

  MemberRecord self() {
    return entries.get(self).record();
  }

  Collection<MemberEntry> entries() {
    return entries.values();
  }

  MemberEntry get(VmId vm) {
    return entries.get(vm);
  }

  int size() {
    return entries.size();
  }

  /** Applies a record that a peer sent or that this VM determined itself. */
  void merge(MemberRecord received, Instant now) {
    if (received.vm().equals(self)) {
      refute(received, now);
      return;
    }
    MemberEntry entry = entries.get(received.vm());
    MemberRecord record = asDeadIfLeaving(received, entry);
    if (entry == null && record.status() == MemberStatus.DEAD) {
      return;
    }
    if (entry == null) {
      entries.put(record.vm(), new MemberEntry(record, now));
      recordChange(record, "newly discovered");
    } else if (record.supersedes(entry.record())) {
      replace(entry, record, now);
    } else if (isStaleSuspicion(record, entry.record())) {
      updates.add(entry.record());
    }
    recordSuspicion(record);
  }

  /** Turns the suspicion of a leaving VM into its death, because it has stopped as announced. */
  private static MemberRecord asDeadIfLeaving(MemberRecord received, MemberEntry entry) {
    boolean hasLeft =
        received.status() == MemberStatus.SUSPECT
            && entry != null
            && entry.record().status() == MemberStatus.LEAVING
            && entry.record().incarnation() == received.incarnation();
    return hasLeft ? received.withStatus(MemberStatus.DEAD, received.source()) : received;
  }

  /**
   * Adds a VM of the platform's list. The record is not gossiped, because every VM reads the list.
   */
  void addListed(ListedVm listed, Instant now) {
    MemberEntry entry =
        entries.computeIfAbsent(
            listed.vm(),
            vm -> {
              changed = true;
              return new MemberEntry(
                  new MemberRecord(vm, listed.zone(), listed.address(), 0, MemberStatus.ALIVE, vm),
                  now);
            });
    entry.setListed(true);
    if (listed.leaving()) {
      merge(entry.record().withStatus(MemberStatus.LEAVING, self), now);
    }
  }

  /**
   * Updates which VMs are listed, and removes unlisted VMs that have been dead for longer than
   * {@code retention}.
   */
  void pruneUnlisted(Set<VmId> listed, Instant now, Duration retention) {
    entries.values().forEach(entry -> entry.setListed(listed.contains(entry.record().vm())));
    for (VmId vm : List.copyOf(deadVms)) {
      MemberEntry entry = entries.get(vm);
      if (!entry.isListed() && now.isAfter(entry.timerStart().plus(retention))) {
        entries.remove(vm);
        deadVms.remove(vm);
        changed = true;
      }
    }
  }

  /** Replaces this VM's own record. */
  void setSelf(MemberRecord record, Instant now) {
    entries.get(self).setRecord(record, now);
    recordChange(record, "own record");
  }

  /** Declares suspects dead whose suspicion timeout has passed. */
  void expireSuspects(Instant now, MembershipTimes times) {
    for (VmId vm : List.copyOf(suspectedVms)) {
      MemberEntry entry = entries.get(vm);
      boolean isConfirmed = entry.suspectingZoneCount() >= ZONES_TO_CONFIRM_SUSPICION;
      Duration timeout = isConfirmed ? times.confirmedSuspicionTimeout() : times.suspicionTimeout();
      if (!now.isBefore(entry.timerStart().plus(timeout))) {
        merge(entry.record().withStatus(MemberStatus.DEAD, self), now);
      }
    }
  }

  /** Returns the dead VMs that the platform lists, which may only have been partitioned. */
  List<VmId> listedDeadVms() {
    return deadVms.stream().filter(vm -> entries.get(vm).isListed()).sorted().toList();
  }

  /** Restarts the suspicion timers, because answers may have waited while this VM was paused. */
  void restartSuspicionTimers(Instant now) {
    suspectedVms.forEach(vm -> entries.get(vm).restartTimer(now));
  }

  List<MemberRecord> takeUpdates(int maximum) {
    return updates.take(maximum, entries.size());
  }

  boolean hasChanged() {
    return changed;
  }

  /** Returns the explanations since the last call and clears the changed flag. */
  List<String> drainExplanations() {
    changed = false;
    List<String> drained = List.copyOf(explanations);
    explanations.clear();
    return drained;
  }

  MembershipView view(long version) {
    Map<VmId, MemberRecord> records = HashMap.newHashMap(entries.size());
    entries.forEach((vm, entry) -> records.put(vm, entry.record()));
    return new MembershipView(version, records);
  }

  private void refute(MemberRecord record, Instant now) {
    MemberRecord own = self();
    if (!record.supersedes(own)) {
      return;
    }
    boolean isLeavingReport =
        record.status() == MemberStatus.LEAVING && record.incarnation() == own.incarnation();
    if (isLeavingReport) {
      setSelf(own.withStatus(MemberStatus.LEAVING, self), now);
      return;
    }
    setSelf(own.withIncarnation(record.incarnation() + 1), now);
  }

  /**
   * Replaces a record. The first record of a VM known only from the platform's list is not
   * gossiped, because it is no change for the peers.
   */
  private void replace(MemberEntry entry, MemberRecord record, Instant now) {
    MemberRecord previous = entry.record();
    boolean isFirstRecord =
        previous.incarnation() == 0
            && previous.status() == MemberStatus.ALIVE
            && record.status() == MemberStatus.ALIVE;
    entry.setRecord(record, now);
    if (isFirstRecord) {
      changed = true;
      return;
    }
    recordChange(
        record, "previously " + previous.status() + ", incarnation " + previous.incarnation());
  }

  /** Returns whether a peer suspects an earlier incarnation and so needs the current record. */
  private static boolean isStaleSuspicion(MemberRecord record, MemberRecord known) {
    return record.status().compareTo(MemberStatus.SUSPECT) >= 0
        && known.status().compareTo(MemberStatus.SUSPECT) < 0
        && known.incarnation() > record.incarnation();
  }

  private void recordSuspicion(MemberRecord record) {
    MemberEntry entry = entries.get(record.vm());
    boolean isCurrent =
        record.status() == MemberStatus.SUSPECT
            && entry.record().status() == MemberStatus.SUSPECT
            && entry.record().incarnation() == record.incarnation();
    MemberEntry source = entries.get(record.source());
    if (!isCurrent || source == null) {
      return;
    }
    AvailabilityZone zone = source.record().zone();
    if (entry.addSuspectingZone(zone)
        && entry.suspectingZoneCount() == ZONES_TO_CONFIRM_SUSPICION) {
      explanations.add(record.vm() + " is suspected by VMs in a second zone, " + zone);
      updates.add(record);
    }
  }

  private void recordChange(MemberRecord record, String reason) {
    changed = true;
    updates.add(record);
    if (record.status() == MemberStatus.SUSPECT) {
      suspectedVms.add(record.vm());
    } else {
      suspectedVms.remove(record.vm());
    }
    if (record.status() == MemberStatus.DEAD) {
      deadVms.add(record.vm());
    } else {
      deadVms.remove(record.vm());
    }
    explanations.add(
        record.vm()
            + " in "
            + record.zone()
            + " is "
            + record.status()
            + ", incarnation "
            + record.incarnation()
            + ", reported by "
            + record.source()
            + "; "
            + reason);
  }
}
