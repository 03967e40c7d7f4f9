package org.mimosacleat.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.Member;

/**
 * The members as one VM knows them at one moment; an immutable snapshot.
 *
 * @param version counts the views that this VM has published
 * @param members all known VMs, this one among them
 */
public record MembersView(long version, Map<VmId, MemberRecord> members) {
  /** Checks the parts. */
  public MembersView {
    members = Map.copyOf(members);
  }

  /** Returns what is believed of one VM. */
  public Optional<MemberRecord> member(VmId vm) {
    return Optional.ofNullable(members.get(vm));
  }

  /** Tells whether a VM is known and not dead; it may be leaving. */
  public boolean isLive(VmId vm) {
    return member(vm).filter(record -> record.status() != MemberStatus.DEAD).isPresent();
  }

  /** Tells whether a VM may be the home of a group: it is neither dead nor leaving. */
  public boolean mayBeHome(VmId vm) {
    return member(vm).filter(MembersView::isCandidate).isPresent();
  }

  /** Returns the members that may be homes, for the placement. */
  public List<Member> homes() {
    return members.values().stream()
        .filter(MembersView::isCandidate)
        .map(record -> new Member(record.vm(), record.zone()))
        .toList();
  }

  private static boolean isCandidate(MemberRecord record) {
    return record.status() == MemberStatus.ALIVE || record.status() == MemberStatus.SUSPECT;
  }
}
