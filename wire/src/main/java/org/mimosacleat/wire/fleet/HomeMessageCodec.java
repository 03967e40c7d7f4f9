package org.mimosacleat.wire.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.lease.LeaseRow;
import org.mimosacleat.core.lease.WriteId;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about the homes of groups as MessagePack. */
public final class HomeMessageCodec {
  private static final int HEARTBEAT = 1;
  private static final int SILENCE_REQUEST = 2;
  private static final int SILENCE_RESPONSE = 3;
  private static final int REACHABILITY_REQUEST = 4;
  private static final int REACHABILITY_RESPONSE = 5;
  private static final int LEASE_HANDOVER = 6;

  private HomeMessageCodec() {}

  /** Encodes a message. */
  public static byte[] encode(HomeMessage message) throws IOException {
    return MessagePackUtil.encode(message, HomeMessageCodec::pack);
  }

  /**
   * Decodes a message.
   *
   * @throws PeerProtocolException if the bytes are not exactly one message
   */
  public static HomeMessage decode(byte[] bytes) throws PeerProtocolException {
    return MessagePackUtil.decode(bytes, "home message", HomeMessageCodec::unpack);
  }

  private static void pack(MessagePacker packer, HomeMessage message) throws IOException {
    packer.packInt(typeOf(message)).packString(message.group().value());
    switch (message) {
      case HomeMessage.Heartbeat heartbeat -> packer.packLong(heartbeat.token().number());
      case HomeMessage.SilenceRequest request -> packer.packString(request.home().value());
      case HomeMessage.SilenceResponse response ->
          packer
              .packString(response.home().value())
              .packString(response.zone().value())
              .packLong(response.silence().toNanos());
      case HomeMessage.ReachabilityRequest request ->
          packer.packString(request.endpoint().value()).packLong(request.round());
      case HomeMessage.ReachabilityResponse response ->
          packer
              .packString(response.zone().value())
              .packLong(response.round())
              .packBoolean(response.reachable());
      case HomeMessage.LeaseHandover handover -> packLeaseHandover(packer, handover);
    }
  }

  private static int typeOf(HomeMessage message) {
    return switch (message) {
      case HomeMessage.Heartbeat any -> HEARTBEAT;
      case HomeMessage.SilenceRequest any -> SILENCE_REQUEST;
      case HomeMessage.SilenceResponse any -> SILENCE_RESPONSE;
      case HomeMessage.ReachabilityRequest any -> REACHABILITY_REQUEST;
      case HomeMessage.ReachabilityResponse any -> REACHABILITY_RESPONSE;
      case HomeMessage.LeaseHandover any -> LEASE_HANDOVER;
    };
  }

  private static void packLeaseHandover(MessagePacker packer, HomeMessage.LeaseHandover handover)
      throws IOException {
    LeaseRow row = handover.row();
    packer
        .packString(row.holder().value())
        .packLong(row.token().number())
        .packLong(row.firstReserved().number())
        .packString(row.writeId().value())
        .packLong(handover.expiredThrough().number());
    MessagePackUtil.writeStrings(packer, row.successors().stream().map(VmId::value).toList());
    MessagePackUtil.writeStrings(packer, row.endpoints().stream().map(EndpointId::value).toList());
  }

  private static HomeMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    GroupId group = new GroupId(unpacker.unpackString());
    return switch (type) {
      case HEARTBEAT -> new HomeMessage.Heartbeat(group, new FencingToken(unpacker.unpackLong()));
      case SILENCE_REQUEST ->
          new HomeMessage.SilenceRequest(group, new VmId(unpacker.unpackString()));
      case SILENCE_RESPONSE ->
          new HomeMessage.SilenceResponse(
              group,
              new VmId(unpacker.unpackString()),
              new AvailabilityZone(unpacker.unpackString()),
              Duration.ofNanos(unpacker.unpackLong()));
      case REACHABILITY_REQUEST ->
          new HomeMessage.ReachabilityRequest(
              group, new EndpointId(unpacker.unpackString()), unpacker.unpackLong());
      case REACHABILITY_RESPONSE ->
          new HomeMessage.ReachabilityResponse(
              group,
              new AvailabilityZone(unpacker.unpackString()),
              unpacker.unpackLong(),
              unpacker.unpackBoolean());
      case LEASE_HANDOVER -> unpackLeaseHandover(unpacker, group);
      default -> throw new PeerProtocolException("home message: unknown type " + type);
    };
  }

  private static HomeMessage unpackLeaseHandover(MessageUnpacker unpacker, GroupId group)
      throws IOException {
    VmId holder = new VmId(unpacker.unpackString());
    FencingToken token = new FencingToken(unpacker.unpackLong());
    FencingToken firstReserved = new FencingToken(unpacker.unpackLong());
    WriteId writeId = new WriteId(unpacker.unpackString());
    FencingToken expiredThrough = new FencingToken(unpacker.unpackLong());
    List<VmId> successors = MessagePackUtil.readStrings(unpacker).stream().map(VmId::new).toList();
    return new HomeMessage.LeaseHandover(
        new LeaseRow(
            group,
            holder,
            token,
            firstReserved,
            successors,
            MessagePackUtil.readStrings(unpacker).stream()
                .map(EndpointId::new)
                .collect(Collectors.toSet()),
            writeId),
        expiredThrough);
  }
}
