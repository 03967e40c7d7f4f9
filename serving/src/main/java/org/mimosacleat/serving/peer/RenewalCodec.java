package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.promotion.ProxyRecord;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;
import org.mimosacleat.wire.fleet.MessagePackUtil;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes lease records with resolved addresses, and versions. */
final class RenewalCodec {
  private RenewalCodec() {}

  static void packRecord(MessagePacker packer, ProxyRecord record) throws IOException {
    packer.packString(record.proxy().value()).packLong(record.renewedAtMillis());
    packer.packBoolean(record.member().isPresent());
    if (record.member().isPresent()) {
      packMember(packer, record.member().get());
    }
    packer.packBoolean(record.groups().isPresent());
    if (record.groups().isPresent()) {
      MessagePackUtil.writeStrings(
          packer, record.groups().get().stream().map(GroupId::value).toList());
    }
  }

  static ProxyRecord unpackRecord(MessageUnpacker unpacker) throws IOException {
    VmId vm = new VmId(unpacker.unpackString());
    long renewedAtMillis = unpacker.unpackLong();
    Optional<FleetMember> member =
        unpacker.unpackBoolean() ? Optional.of(unpackMember(unpacker, vm)) : Optional.empty();
    Optional<Set<GroupId>> groups =
        unpacker.unpackBoolean() ? Optional.of(unpackGroups(unpacker)) : Optional.empty();
    return new ProxyRecord(vm, member, groups, renewedAtMillis);
  }

  static void packVersion(MessagePacker packer, StoreVersion version) throws IOException {
    packer.packLong(version.era().number()).packLong(version.number());
  }

  static StoreVersion unpackVersion(MessageUnpacker unpacker) throws IOException {
    return new StoreVersion(new StoreEra(unpacker.unpackLong()), unpacker.unpackLong());
  }

  private static void packMember(MessagePacker packer, FleetMember member) throws IOException {
    packer.packString(member.zone().value());
    packAddress(packer, member.address());
  }

  private static FleetMember unpackMember(MessageUnpacker unpacker, VmId vm) throws IOException {
    AvailabilityZone zone = new AvailabilityZone(unpacker.unpackString());
    return new FleetMember(vm, zone, unpackAddress(unpacker));
  }

  static void packAddress(MessagePacker packer, InetSocketAddress address) throws IOException {
    byte[] bytes = address.getAddress().getAddress();
    packer.packBinaryHeader(bytes.length).writePayload(bytes);
    packer.packInt(address.getPort());
  }

  static InetSocketAddress unpackAddress(MessageUnpacker unpacker) throws IOException {
    byte[] bytes = unpacker.readPayload(unpacker.unpackBinaryHeader());
    return new InetSocketAddress(InetAddress.getByAddress(bytes), unpacker.unpackInt());
  }

  private static Set<GroupId> unpackGroups(MessageUnpacker unpacker) throws IOException {
    Set<GroupId> groups = new HashSet<>();
    MessagePackUtil.readStrings(unpacker).forEach(group -> groups.add(new GroupId(group)));
    return groups;
  }
}
