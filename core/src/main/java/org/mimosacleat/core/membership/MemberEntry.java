package org.mimosacleat.core.membership;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.mimosacleat.core.id.AvailabilityZone;

/** One known VM with what is kept of it beside the record. */
final class MemberEntry {
  private final Set<AvailabilityZone> accusingZones = new HashSet<>();
  private MemberRecord record;
  private Instant since;
  private boolean listed;

  MemberEntry(MemberRecord record, Instant since) {
    this.record = record;
    this.since = since;
  }

  MemberRecord record() {
    return record;
  }

  /** Returns when the status began, or when this VM last resumed after a pause. */
  Instant since() {
    return since;
  }

  void restartTimer(Instant now) {
    since = now;
  }

  boolean isListed() {
    return listed;
  }

  void setListed(boolean next) {
    listed = next;
  }

  /** Replaces the record. */
  void set(MemberRecord next, Instant now) {
    if (next.status() != record.status() || next.incarnation() != record.incarnation()) {
      since = now;
      accusingZones.clear();
    }
    record = next;
  }

  /** Notes that a VM of {@code zone} suspects this one; returns whether that zone is new. */
  boolean accuse(AvailabilityZone zone) {
    return accusingZones.add(zone);
  }

  int accusingZones() {
    return accusingZones.size();
  }
}
