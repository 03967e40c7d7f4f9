package org.mimosacleat.serving.feed;

import java.time.Duration;

/** Another proxy that follows the feeds of this one; its methods must not block for long. */
public interface FeedSubscriber {
  /** Passes changes on. */
  void sendPage(FeedPage page);

  /** Reports how long ago the store last answered this proxy. */
  void sendContact(Duration age);
}
