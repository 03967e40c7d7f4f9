package org.mimosacleat.lab.fuzz;

import java.time.Instant;
import java.util.function.Supplier;

/** A question of a proxy on its way, with what it does at its target and how its answer ends. */
final class Message {
  private final ProxyStack owner;
  private final Channel channel;
  private final Instant sentAt;
  private final Supplier<Runnable> effect;
  private final Runnable failure;
  private boolean failed;

  /** Takes the effect at the target, which returns the delivery of the answer. */
  Message(
      ProxyStack owner,
      Channel channel,
      Instant sentAt,
      Supplier<Runnable> effect,
      Runnable failure) {
    this.owner = owner;
    this.channel = channel;
    this.sentAt = sentAt;
    this.effect = effect;
    this.failure = failure;
  }

  ProxyStack owner() {
    return owner;
  }

  Channel channel() {
    return channel;
  }

  Instant sentAt() {
    return sentAt;
  }

  boolean isFailed() {
    return failed;
  }

  /** Lets the owner give up, once; the question may still reach its target. */
  void fail() {
    if (!failed) {
      failed = true;
      owner.post(failure);
    }
  }

  /** Lets the question take effect, and the answer come back or be lost. */
  void deliver(boolean loseAnswer) {
    Runnable answer = effect.get();
    if (loseAnswer) {
      fail();
    } else if (!failed) {
      owner.post(answer);
    }
  }
}
