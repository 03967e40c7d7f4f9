package org.mimosacleat.serving.feed;

import java.time.Duration;

/** Receives what one other proxy passes on. */
public interface FeedListener {
  /** Called with changes that the other proxy has read. */
  void pageReceived(FeedPage page);

  /**
   * Called repeatedly.
   *
   * @param age how long ago the store last answered the other proxy
   */
  void contactReported(Duration age);
}
