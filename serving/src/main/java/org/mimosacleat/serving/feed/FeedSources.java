package org.mimosacleat.serving.feed;

import java.util.List;
import org.mimosacleat.core.id.VmId;

/** The proxies that this one may follow. */
public interface FeedSources {
  /** Returns the proxies to follow, best first; empty if this proxy is to ask the store. */
  List<VmId> candidates();

  /** Starts to follow a proxy; returns false if it can't be reached. */
  boolean follow(VmId source, FeedListener listener);
}
