package org.mimosacleat.standin.platform;

import java.time.Duration;

/**
 * The faults that are currently injected.
 *
 * @param down whether all calls fail without effect
 * @param delay the duration of each call
 * @param answersToLose the number of upcoming writes that take effect but whose answers are lost
 * @param writesToHold the number of upcoming writes that time out and take effect only when
 *     released
 */
record FaultPlan(boolean down, Duration delay, int answersToLose, int writesToHold) {
  static final FaultPlan NONE = new FaultPlan(false, Duration.ZERO, 0, 0);

  FaultPlan withDown(boolean newDown) {
    return new FaultPlan(newDown, delay, answersToLose, writesToHold);
  }

  FaultPlan withDelay(Duration newDelay) {
    return new FaultPlan(down, newDelay, answersToLose, writesToHold);
  }

  FaultPlan withAnswersToLose(int newCount) {
    return new FaultPlan(down, delay, newCount, writesToHold);
  }

  FaultPlan withWritesToHold(int newCount) {
    return new FaultPlan(down, delay, answersToLose, newCount);
  }

  /** Returns the plan after one write, which used up one held write or one lost answer. */
  FaultPlan afterWrite() {
    if (writesToHold > 0) {
      return withWritesToHold(writesToHold - 1);
    }
    return answersToLose > 0 ? withAnswersToLose(answersToLose - 1) : this;
  }
}
