package org.mimosacleat.proxy.fleet;

/** The channel numbers that distinguish the protocols within fleet messages. */
public final class FleetChannel {
  /** Messages between the homes of groups. */
  public static final int HOMES = 1;

  /** Gossip about the members of the fleet. */
  public static final int MEMBERS = 2;

  /** Gossip of the operators' lists. */
  public static final int LISTS = 3;

  /** Reports and grants of shares of the customers' allowances. */
  public static final int SHARES = 4;

  private FleetChannel() {}
}
