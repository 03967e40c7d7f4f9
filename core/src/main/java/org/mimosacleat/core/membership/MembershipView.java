package org.mimosacleat.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.Member;

/**
 * An immutable snapshot of the members as one VM knows them.
 *
 * @param version increases by one with each view that this VM publishes
 * @param members the records of all known VMs, including this one
 */
public record MembershipView(long version, Map<VmId, MemberRecord> members) {
  /** Copies the map. */
  public MembershipView {
    members = Map.copyOf(members);
  }

  /** Returns the record of one VM, if it is known. */
  public Optional<MemberRecord> member(VmId vm) {
    return Optional.ofNullable(members.get(vm));
  }

  /** Returns whether a VM is known and not dead; it may be leaving. */
  public boolean isLive(VmId vm) {
    return member(vm).filter(record -> record.status() != MemberStatus.DEAD).isPresent();
  }

  /** Returns whether a VM can be the home of a group, that is, it is neither dead nor leaving. */
  public boolean canBeHome(VmId vm) {
    return member(vm).filter(MembershipView::isCandidate).isPresent();
  }

  /** Returns the members that can be homes, for the placement. */
  public List<Member> homeCandidates() {
    return members.values().stream()
        .filter(MembershipView::isCandidate)
        .map(record -> new Member(record.vm(), record.zone()))
        .toList();
  }

  private static boolean isCandidate(MemberRecord record) {
    return record.status() == MemberStatus.ALIVE || record.status() == MemberStatus.SUSPECT;
  }
}
