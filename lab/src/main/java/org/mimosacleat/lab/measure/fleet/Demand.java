package org.mimosacleat.lab.measure.fleet;

import java.util.Arrays;

/** Counts what a store is asked in each second of an outage and after it. */
final class Demand {
  private final int[] asked;
  private final int returnsAt;
  private int unanswered;
  private int lastAnswer;

  Demand(int returnsAt, int seconds, int questions) {
    this.asked = new int[seconds];
    this.returnsAt = returnsAt;
    this.unanswered = questions;
  }

  /** Counts a request, and tells whether the store answered it. */
  boolean ask(int second) {
    asked[second]++;
    if (second < returnsAt) {
      return false;
    }
    unanswered--;
    lastAnswer = second;
    return true;
  }

  int busiestDown() {
    return Arrays.stream(asked, 0, returnsAt).max().orElse(0);
  }

  int busiestUp() {
    return Arrays.stream(asked, returnsAt, asked.length).max().orElse(0);
  }

  /** Returns the seconds after the return until the last answer, or -1 if some are missing. */
  int secondsToAnswer() {
    return unanswered > 0 ? -1 : lastAnswer - returnsAt;
  }
}
