package org.mimosacleat.lab.fuzz;

import java.time.Instant;
import java.util.function.Supplier;

/** A request in flight from a proxy, with its effect at the destination and its failure handler. */
final class Message {
  private final SimulatedProxy sender;
  private final Destination destination;
  private final Instant sentAt;
  private final Supplier<Runnable> effect;
  private final Runnable onFailure;
  private boolean failed;

  /**
   * Creates a message.
   *
   * @param effect runs at the destination and returns the task that delivers the answer
   * @param onFailure runs at the sender if no answer arrives
   */
  Message(
      SimulatedProxy sender,
      Destination destination,
      Instant sentAt,
      Supplier<Runnable> effect,
      Runnable onFailure) {
    this.sender = sender;
    this.destination = destination;
    this.sentAt = sentAt;
    this.effect = effect;
    this.onFailure = onFailure;
  }

  SimulatedProxy sender() {
    return sender;
  }

  Destination destination() {
    return destination;
  }

  Instant sentAt() {
    return sentAt;
  }

  boolean isFailed() {
    return failed;
  }

  /** Reports a failure to the sender, once; the message may still reach its destination. */
  void fail() {
    if (!failed) {
      failed = true;
      sender.enqueue(onFailure);
    }
  }

  /** Runs the effect at the destination and then delivers or drops the answer. */
  void deliver(boolean dropAnswer) {
    Runnable answer = effect.get();
    if (dropAnswer) {
      fail();
    } else if (!failed) {
      sender.enqueue(answer);
    }
  }
}
