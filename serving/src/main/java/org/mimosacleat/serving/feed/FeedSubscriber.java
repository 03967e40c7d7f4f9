package org.mimosacleat.serving.feed;

/** Another proxy that follows the feeds of this one; its methods must not block for long. */
public interface FeedSubscriber {
  /** Passes changes on. */
  void sendPage(FeedPage page);
}
