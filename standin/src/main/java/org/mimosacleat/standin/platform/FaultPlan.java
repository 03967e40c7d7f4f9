package org.mimosacleat.standin.platform;

import java.time.Duration;

/**
 * The faults in force at one moment.
 *
 * @param down whether calls fail without effect
 * @param delay how long each call takes
 * @param answersToLose how many coming writes take effect but lose their answer
 * @param writesToHold how many coming writes time out and take effect only when released
 */
record FaultPlan(boolean down, Duration delay, int answersToLose, int writesToHold) {
  static final FaultPlan NONE = new FaultPlan(false, Duration.ZERO, 0, 0);

  FaultPlan withDown(boolean changed) {
    return new FaultPlan(changed, delay, answersToLose, writesToHold);
  }

  FaultPlan withDelay(Duration changed) {
    return new FaultPlan(down, changed, answersToLose, writesToHold);
  }

  FaultPlan withAnswersToLose(int changed) {
    return new FaultPlan(down, delay, changed, writesToHold);
  }

  FaultPlan withWritesToHold(int changed) {
    return new FaultPlan(down, delay, answersToLose, changed);
  }

  FaultPlan afterWrite() {
    if (writesToHold > 0) {
      return withWritesToHold(writesToHold - 1);
    }
    return answersToLose > 0 ? withAnswersToLose(answersToLose - 1) : this;
  }
}
