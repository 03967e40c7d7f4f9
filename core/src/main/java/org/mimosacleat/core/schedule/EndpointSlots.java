package org.mimosacleat.core.schedule;

import org.mimosacleat.core.id.EndpointId;

/**
 * The slots of one endpoint: those in use, and how many of these run or may run long statements.
 */
final class EndpointSlots {
  final EndpointId id;
  private final int slots;
  private final int longSlots;
  private int running;
  private int runningLong;
  private boolean accepting = true;
  private boolean lastStartWasLong;

  EndpointSlots(EndpointId id, int slots, int reservedSlots) {
    this.id = id;
    this.slots = slots;
    this.longSlots = Math.max(1, slots - reservedSlots);
  }

  void setAccepting(boolean value) {
    accepting = value;
  }

  boolean isAccepting() {
    return accepting;
  }

  int slots() {
    return slots;
  }

  int freeSlots() {
    return accepting ? slots - running : 0;
  }

  int slotsWithoutLong() {
    return Math.max(1, slots - runningLong);
  }

  int longSlots() {
    return longSlots;
  }

  boolean hasFreeLongSlot() {
    return runningLong < longSlots;
  }

  /** Returns whether long work that has not aged may start: it leaves half of the slots free. */
  boolean hasFreeLongSlotForUnaged() {
    return runningLong < Math.min(longSlots, Math.max(1, slots / 2));
  }

  /** Without a reserved slot, long and short work alternate so that neither starves. */
  boolean isShortTurn() {
    return longSlots == slots && lastStartWasLong;
  }

  void start(boolean countsAsLong) {
    lastStartWasLong = countsAsLong;
    running++;
    runningLong += countsAsLong ? 1 : 0;
  }

  void countOneMoreLong() {
    runningLong++;
  }

  void finish(boolean countedAsLong) {
    running--;
    runningLong -= countedAsLong ? 1 : 0;
  }
}
