package org.mimosacleat.serving.relay;

import java.util.List;

/**
 * Where a statement may run.
 *
 * @param gateways the gateways, in the order in which to try them
 * @param runsHere whether this proxy runs the statement itself if no gateway has taken it, even if
 *     none could be reached
 * @param runsRejected whether this proxy runs the statement itself if a gateway has rejected it
 */
public record GatewayOrder(List<Gateway> gateways, boolean runsHere, boolean runsRejected) {
  /** For a proxy that is the best gateway itself. */
  public static final GatewayOrder HERE = new GatewayOrder(List.of(), true, true);

  /** For a proxy that runs statements itself only if it knows no gateway. */
  public GatewayOrder(List<Gateway> gateways, boolean runsHere) {
    this(gateways, runsHere, runsHere);
  }

  /** Copies the gateways. */
  public GatewayOrder {
    gateways = List.copyOf(gateways);
  }

  /** Returns whether to run a statement here that no gateway has taken. */
  public boolean runsHere(boolean rejected) {
    return runsHere || (rejected && runsRejected);
  }
}
