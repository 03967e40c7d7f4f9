package org.mimosacleat.proxy.node;

import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.fleet.FleetChannel;
import org.mimosacleat.proxy.fleet.ListKeeper;
import org.mimosacleat.proxy.fleet.MembershipDriver;
import org.mimosacleat.proxy.fleet.ShareKeeper;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.peer.FleetReceiver;
import org.mimosacleat.wire.fleet.HomeMessageCodec;
import org.mimosacleat.wire.fleet.MembershipMessageCodec;
import org.mimosacleat.wire.fleet.ShareMessageCodec;
import org.mimosacleat.wire.fleet.SpreadMessageCodec;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.tinylog.Logger;

/** Passes messages of the fleet's protocols to those who speak them. */
final class FleetReceivers implements FleetReceiver {
  private final Homes homes;
  private final MembershipDriver members;
  private final ListKeeper lists;
  private final ShareKeeper shares;

  FleetReceivers(Homes homes, MembershipDriver members, ListKeeper lists, ShareKeeper shares) {
    this.homes = homes;
    this.members = members;
    this.lists = lists;
    this.shares = shares;
  }

  @Override
  public void received(VmId sender, PeerMessage.Fleet message) {
    try {
      pass(sender, message);
    } catch (PeerProtocolException malformed) {
      Logger.warn("{} sent a malformed message: {}", sender, malformed.getMessage());
    }
  }

  private void pass(VmId sender, PeerMessage.Fleet message) throws PeerProtocolException {
    switch (message.channel()) {
      case FleetChannel.HOMES -> homes.received(sender, HomeMessageCodec.decode(message.body()));
      case FleetChannel.MEMBERS -> members.received(MembershipMessageCodec.decode(message.body()));
      case FleetChannel.LISTS -> lists.received(SpreadMessageCodec.decode(message.body()));
      case FleetChannel.SHARES -> shares.received(sender, ShareMessageCodec.decode(message.body()));
      default -> Logger.warn("{} sent a message on unknown channel {}", sender, message.channel());
    }
  }
}
