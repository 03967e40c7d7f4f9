package org.mimosacleat.serving.feed;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.version.StoreVersion;

/** The proxies that this one may follow. */
public interface FeedSources {
  /** Returns the proxies to follow, best first; empty if this proxy is to ask the store. */
  List<VmId> candidates();

  /**
   * Returns the proxies of other zones to follow, best first, if the store does not answer and none
   * of {@link #candidates} has contact to it.
   */
  List<VmId> distantCandidates();

  /**
   * Starts to follow a proxy; returns false if it can't be reached.
   *
   * @param known the version of the operator's table that this proxy has applied, if any
   */
  boolean follow(VmId source, FeedListener listener, Optional<StoreVersion> known);

  /**
   * Asks a proxy that is followed for its contact to the store; returns false if the connection on
   * which it was followed is lost.
   *
   * @param nonce the number of the question
   */
  boolean askContact(VmId source, long nonce);
}
