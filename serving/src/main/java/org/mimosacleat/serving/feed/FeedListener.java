package org.mimosacleat.serving.feed;

/** Receives what one other proxy passes on. */
public interface FeedListener {
  /** Called with changes that the other proxy has read. */
  void pageReceived(FeedPage page);

  /**
   * Called with the answer to a question about the contact to the store.
   *
   * @param nonce the number of the question
   * @param contact what the other proxy can prove
   */
  void contactReported(long nonce, StoreContact contact);
}
