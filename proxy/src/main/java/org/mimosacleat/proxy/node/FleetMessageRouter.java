package org.mimosacleat.proxy.node;

import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.fleet.FleetChannel;
import org.mimosacleat.proxy.fleet.ListUpdater;
import org.mimosacleat.proxy.fleet.MembershipService;
import org.mimosacleat.proxy.fleet.ShareService;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.peer.FleetReceiver;
import org.mimosacleat.wire.fleet.HomeMessageCodec;
import org.mimosacleat.wire.fleet.ListGossipMessageCodec;
import org.mimosacleat.wire.fleet.MembershipMessageCodec;
import org.mimosacleat.wire.fleet.ShareMessageCodec;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.tinylog.Logger;

/** Decodes messages of the fleet's protocols and routes them to the component for their channel. */
final class FleetMessageRouter implements FleetReceiver {
  private final Homes homes;
  private final MembershipService membership;
  private final ListUpdater lists;
  private final ShareService shares;

  FleetMessageRouter(
      Homes homes, MembershipService membership, ListUpdater lists, ShareService shares) {
    this.homes = homes;
    this.membership = membership;
    this.lists = lists;
    this.shares = shares;
  }

  @Override
  public void receive(VmId sender, PeerMessage.FleetPayload message) {
    try {
      route(sender, message);
    } catch (PeerProtocolException malformed) {
      Logger.warn(
          "fleet message from {} is malformed: {}; ignored", sender, malformed.getMessage());
    }
  }

  private void route(VmId sender, PeerMessage.FleetPayload message) throws PeerProtocolException {
    switch (message.channel()) {
      case FleetChannel.HOMES -> homes.receive(sender, HomeMessageCodec.decode(message.payload()));
      case FleetChannel.MEMBERS ->
          membership.receive(MembershipMessageCodec.decode(message.payload()));
      case FleetChannel.LISTS -> lists.receive(ListGossipMessageCodec.decode(message.payload()));
      case FleetChannel.SHARES ->
          shares.receive(sender, ShareMessageCodec.decode(message.payload()));
      default ->
          Logger.warn(
              "fleet message from {} ignored: unknown channel {}", sender, message.channel());
    }
  }
}
