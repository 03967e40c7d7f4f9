package org.mimosacleat.serving.promotion;

import java.util.Optional;
import org.mimosacleat.core.id.VmId;

/** Asks other proxies directly to stop using a primary, which works without the store. */
@FunctionalInterface
public interface PeerStops {
  /** For a proxy that reaches no other one. */
  PeerStops NONE = (_, _) -> Optional.empty();

  /**
   * Asks a proxy to stop using the primary that a claim replaces, and waits for its confirmation.
   *
   * @return its confirmation; empty if it gave none in time
   */
  Optional<StopRecord> requestStop(VmId proxy, RecordedPrimary claim);
}
