package org.mimosacleat.core.membership;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.mimosacleat.core.id.AvailabilityZone;

/** A known VM: its record and local bookkeeping that is not sent to other VMs. */
final class MemberEntry {
  private final Set<AvailabilityZone> suspectingZones = new HashSet<>();
  private MemberRecord record;
  private Instant timerStart;
  private boolean listed;

  MemberEntry(MemberRecord record, Instant timerStart) {
    this.record = record;
    this.timerStart = timerStart;
  }

  MemberRecord record() {
    return record;
  }

  /** Returns when the status began; for a suspect, a later pause of this VM restarts the timer. */
  Instant timerStart() {
    return timerStart;
  }

  void restartTimer(Instant now) {
    timerStart = now;
  }

  boolean isListed() {
    return listed;
  }

  void setListed(boolean nowListed) {
    listed = nowListed;
  }

  /** Replaces the record; a new status or incarnation restarts the timer and its suspicions. */
  void setRecord(MemberRecord newRecord, Instant now) {
    if (newRecord.status() != record.status() || newRecord.incarnation() != record.incarnation()) {
      timerStart = now;
      suspectingZones.clear();
    }
    record = newRecord;
  }

  /** Records that a VM in {@code zone} suspects this one; returns whether the zone is new. */
  boolean addSuspectingZone(AvailabilityZone zone) {
    return suspectingZones.add(zone);
  }

  int suspectingZoneCount() {
    return suspectingZones.size();
  }
}
