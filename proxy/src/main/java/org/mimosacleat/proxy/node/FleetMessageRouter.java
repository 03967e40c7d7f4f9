package org.mimosacleat.proxy.node;

import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.fleet.FleetChannel;
import org.mimosacleat.proxy.fleet.ListUpdater;
import org.mimosacleat.proxy.fleet.MembershipService;
import org.mimosacleat.proxy.fleet.ShareService;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.peer.FleetReceiver;
import org.mimosacleat.wire.fleet.HomeMessageCodec;
import org.mimosacleat.wire.fleet.MembershipMessageCodec;
import org.mimosacleat.wire.fleet.ShareMessageCodec;
import org.mimosacleat.wire.fleet.SpreadMessageCodec;
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
  public void received(VmId sender, PeerMessage.Fleet message) {
    try {
      route(sender, message);
    } catch (PeerProtocolException malformed) {
      Logger.warn(
          "fleet message from {} is malformed: {}; ignored", sender, malformed.getMessage());
    }
  }

  private void route(VmId sender, PeerMessage.Fleet message) throws PeerProtocolException {
    switch (message.channel()) {
      case FleetChannel.HOMES -> homes.received(sender, HomeMessageCodec.decode(message.body()));
      case FleetChannel.MEMBERS ->
          membership.receive(MembershipMessageCodec.decode(message.body()));
      case FleetChannel.LISTS -> lists.receive(SpreadMessageCodec.decode(message.body()));
      case FleetChannel.SHARES -> shares.receive(sender, ShareMessageCodec.decode(message.body()));
      default ->
          Logger.warn(
              "fleet message from {} ignored: unknown channel {}", sender, message.channel());
    }
  }
}
