package org.mimosacleat.core.schedule;

import org.mimosacleat.core.id.EndpointId;

/** The slots of one endpoint: how many run, and how many of these are long or may become long. */
final class EndpointSlots {
  final EndpointId id;
  private final int slots;
  private final int longSlots;
  private int running;
  private int runningLong;
  private boolean accepting = true;
  private boolean lastStartWasLong;

  EndpointSlots(EndpointId id, int slots, int reserved) {
    this.id = id;
    this.slots = slots;
    this.longSlots = Math.max(1, slots - reserved);
  }

  void accept(boolean accept) {
    accepting = accept;
  }

  boolean isAccepting() {
    return accepting;
  }

  int slots() {
    return slots;
  }

  int free() {
    return accepting ? slots - running : 0;
  }

  int freeOfLong() {
    return Math.max(1, slots - runningLong);
  }

  int longSlots() {
    return longSlots;
  }

  boolean hasLongSlot() {
    return runningLong < longSlots;
  }

  /** Long work that has not aged leaves half of the slots to what may arrive next. */
  boolean hasEarlyLongSlot() {
    return runningLong < Math.min(longSlots, Math.max(1, slots / 2));
  }

  /** Without a reserved slot, long and short work must take turns so that neither starves. */
  boolean isTurnOfShort() {
    return longSlots == slots && lastStartWasLong;
  }

  void start(boolean countsAsLong) {
    lastStartWasLong = countsAsLong;
    running++;
    runningLong += countsAsLong ? 1 : 0;
  }

  void demote() {
    runningLong++;
  }

  void finish(boolean countedAsLong) {
    running--;
    runningLong -= countedAsLong ? 1 : 0;
  }
}
