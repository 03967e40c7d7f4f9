package org.mimosacleat.proxy.node;

/** The protocols that fleet messages carry. */
final class FleetChannel {
  /** Messages about homes. */
  static final int HOMES = 1;

  private FleetChannel() {}
}
