package org.mimosacleat.lab.measure.fleet;

import java.util.Arrays;

/** Counts the requests to the store per second, during an outage and after it. */
final class StoreRequests {
  private final int[] requests;
  private final int availableFrom;
  private int unanswered;
  private int lastAnsweredAt;

  StoreRequests(int availableFrom, int seconds, int expectedAnswers) {
    this.requests = new int[seconds];
    this.availableFrom = availableFrom;
    this.unanswered = expectedAnswers;
  }

  /** Counts a request and returns whether the store answers it. */
  boolean recordRequest(int second) {
    requests[second]++;
    if (second < availableFrom) {
      return false;
    }
    unanswered--;
    lastAnsweredAt = second;
    return true;
  }

  int peakDuringOutage() {
    return Arrays.stream(requests, 0, availableFrom).max().orElse(0);
  }

  int peakAfterReturn() {
    return Arrays.stream(requests, availableFrom, requests.length).max().orElse(0);
  }

  /**
   * Returns the seconds from the end of the outage to the last answer, or -1 if some are missing.
   */
  int secondsToAnswer() {
    return unanswered > 0 ? -1 : lastAnsweredAt - availableFrom;
  }
}
