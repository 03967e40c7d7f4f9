package org.mimosacleat.serving.relay;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.id.GroupId;

/** A settable list of gateways. */
public final class FakeRelay implements Relay {
  public final List<Gateway> gateways;
  public boolean isolated;

  /** Creates a relay to these gateways. */
  public FakeRelay(Gateway... gateways) {
    this.gateways = new ArrayList<>(List.of(gateways));
  }

  @Override
  public List<Gateway> gatewaysOf(GroupId group) {
    return gateways;
  }

  @Override
  public boolean isIsolated() {
    return isolated;
  }
}
