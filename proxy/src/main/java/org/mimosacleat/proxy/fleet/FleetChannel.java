package org.mimosacleat.proxy.fleet;

/** The protocols that fleet messages carry. */
public final class FleetChannel {
  /** Messages about homes. */
  public static final int HOMES = 1;

  /** Messages about members. */
  public static final int MEMBERS = 2;

  /** Messages about the operators' lists. */
  public static final int LISTS = 3;

  /** Messages about shares of allowances. */
  public static final int SHARES = 4;

  private FleetChannel() {}
}
