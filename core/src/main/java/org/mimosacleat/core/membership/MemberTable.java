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

/** All that one VM knows of the members, and the rules by which beliefs replace each other. */
final class MemberTable {
  private static final int ZONES_TO_CONFIRM = 2;

  private final Map<VmId, MemberEntry> entries = new HashMap<>();
  private final Set<VmId> suspects = new HashSet<>();
  private final Set<VmId> dead = new HashSet<>();
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

  /** Takes a record from a peer, or one that this VM came to itself. */
  void merge(MemberRecord heard, Instant now) {
    if (heard.vm().equals(self)) {
      refute(heard, now);
      return;
    }
    MemberEntry entry = entries.get(heard.vm());
    MemberRecord record = asDeadIfItLeft(heard, entry);
    if (entry == null && record.status() == MemberStatus.DEAD) {
      return;
    }
    if (entry == null) {
      entries.put(record.vm(), new MemberEntry(record, now));
      note(record, "first heard of");
    } else if (record.overrides(entry.record())) {
      replace(entry, record, now);
    } else if (isStaleAccusation(record, entry.record())) {
      updates.add(entry.record());
    }
    accuse(record);
  }

  /** A VM that said it would leave and then does not answer has left; it is no suspect. */
  private static MemberRecord asDeadIfItLeft(MemberRecord heard, MemberEntry entry) {
    boolean left =
        heard.status() == MemberStatus.SUSPECT
            && entry != null
            && entry.record().status() == MemberStatus.LEAVING
            && entry.record().incarnation() == heard.incarnation();
    return left ? heard.withStatus(MemberStatus.DEAD, heard.source()) : heard;
  }

  /** Takes a VM of the platform's list; it is not passed on, since every VM reads the list. */
  void list(ListedVm listed, Instant now) {
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

  /** Marks what is no longer listed, and forgets those of it that are dead for long. */
  void forgetUnlisted(Set<VmId> listed, Instant now, Duration memory) {
    entries.values().forEach(entry -> entry.setListed(listed.contains(entry.record().vm())));
    for (VmId vm : List.copyOf(dead)) {
      MemberEntry entry = entries.get(vm);
      if (!entry.isListed() && now.isAfter(entry.since().plus(memory))) {
        entries.remove(vm);
        dead.remove(vm);
        changed = true;
      }
    }
  }

  /** Replaces this VM's own record. */
  void setSelf(MemberRecord record, Instant now) {
    entries.get(self).set(record, now);
    note(record, "this VM");
  }

  /** Declares dead the suspects that had their time. */
  void expireSuspects(Instant now, MembershipTimes times) {
    for (VmId vm : List.copyOf(suspects)) {
      MemberEntry entry = entries.get(vm);
      boolean isConfirmed = entry.accusingZones() >= ZONES_TO_CONFIRM;
      Duration wait = isConfirmed ? times.confirmedSuspicion() : times.suspicion();
      if (!now.isBefore(entry.since().plus(wait))) {
        merge(entry.record().withStatus(MemberStatus.DEAD, self), now);
      }
    }
  }

  /** Returns the dead that the platform lists: they may only have been cut off. */
  List<VmId> listedDead() {
    return dead.stream().filter(vm -> entries.get(vm).isListed()).sorted().toList();
  }

  /** Gives suspects their time anew, since answers may have waited while this VM was paused. */
  void restartSuspicions(Instant now) {
    suspects.forEach(vm -> entries.get(vm).restartTimer(now));
  }

  List<MemberRecord> takeUpdates(int maximum) {
    return updates.take(maximum, entries.size());
  }

  boolean hasChanged() {
    return changed;
  }

  /** Returns the explanations since the last call, and counts the changes as seen. */
  List<String> takeExplanations() {
    changed = false;
    List<String> taken = List.copyOf(explanations);
    explanations.clear();
    return taken;
  }

  MembersView view(long version) {
    Map<VmId, MemberRecord> records = HashMap.newHashMap(entries.size());
    entries.forEach((vm, entry) -> records.put(vm, entry.record()));
    return new MembersView(version, records);
  }

  private void refute(MemberRecord record, Instant now) {
    MemberRecord own = self();
    if (!record.overrides(own)) {
      return;
    }
    boolean onlyLeaving =
        record.status() == MemberStatus.LEAVING && record.incarnation() == own.incarnation();
    if (onlyLeaving) {
      setSelf(own.withStatus(MemberStatus.LEAVING, self), now);
      return;
    }
    setSelf(own.withIncarnation(record.incarnation() + 1), now);
  }

  /** The first word of a VM that was known from the list only is no news to others. */
  private void replace(MemberEntry entry, MemberRecord record, Instant now) {
    MemberRecord before = entry.record();
    boolean isKnown =
        before.incarnation() == 0
            && before.status() == MemberStatus.ALIVE
            && record.status() == MemberStatus.ALIVE;
    entry.set(record, now);
    if (isKnown) {
      changed = true;
      return;
    }
    note(record, "was " + before.status() + " " + before.incarnation());
  }

  /** Tells whether a peer accuses an earlier incarnation, and so has to be told of the later. */
  private static boolean isStaleAccusation(MemberRecord record, MemberRecord known) {
    return record.status().compareTo(MemberStatus.SUSPECT) >= 0
        && known.status().compareTo(MemberStatus.SUSPECT) < 0
        && known.incarnation() > record.incarnation();
  }

  private void accuse(MemberRecord record) {
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
    if (entry.accuse(zone) && entry.accusingZones() == ZONES_TO_CONFIRM) {
      explanations.add(record.vm() + " is suspected from a second zone, " + zone);
      updates.add(record);
    }
  }

  private void note(MemberRecord record, String reason) {
    changed = true;
    updates.add(record);
    if (record.status() == MemberStatus.SUSPECT) {
      suspects.add(record.vm());
    } else {
      suspects.remove(record.vm());
    }
    if (record.status() == MemberStatus.DEAD) {
      dead.add(record.vm());
    } else {
      dead.remove(record.vm());
    }
    explanations.add(
        record.vm()
            + " in "
            + record.zone()
            + " is "
            + record.status()
            + " "
            + record.incarnation()
            + " by "
            + record.source()
            + ", "
            + reason);
  }
}
