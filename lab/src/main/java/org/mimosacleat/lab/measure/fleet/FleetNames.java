package org.mimosacleat.lab.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.membership.ListedVm;
import org.mimosacleat.core.membership.MemberRecord;
import org.mimosacleat.core.membership.MemberStatus;
import org.mimosacleat.core.placement.Member;
import org.mimosacleat.core.placement.PlacedGroup;

/** Generates names of realistic length for the VMs, zones and groups of a simulated fleet. */
final class FleetNames {
  static final int ZONES = 8;

  private FleetNames() {}

  static VmId vm(int index) {
    return new VmId(String.format("entry-%05d", index));
  }

  static AvailabilityZone zone(int index) {
    return new AvailabilityZone("region-" + index % 3 + "-zone-" + index % ZONES);
  }

  static String address(int index) {
    return "10.20." + index / 250 + "." + (index % 250 + 1) + ":7432";
  }

  static List<VmId> vms(int count) {
    List<VmId> vms = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      vms.add(vm(index));
    }
    return vms;
  }

  static MemberRecord record(int index, long incarnation) {
    VmId vm = vm(index);
    return new MemberRecord(vm, zone(index), address(index), incarnation, MemberStatus.ALIVE, vm);
  }

  static List<ListedVm> listed(int count) {
    List<ListedVm> listed = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      listed.add(new ListedVm(vm(index), zone(index), address(index), false));
    }
    return listed;
  }

  static List<Member> members(int count) {
    List<Member> members = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      members.add(new Member(vm(index), zone(index)));
    }
    return members;
  }

  static List<PlacedGroup> groups(int count, long seed) {
    List<PlacedGroup> groups = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      groups.add(new PlacedGroup(new GroupId("database-" + seed + "-" + index)));
    }
    return groups;
  }
}
