package org.mimosacleat.lab.measure.fleet;

/** Counts messages and bytes, and the processor time spent on the decisions. */
final class Traffic {
  private long messages;
  private long bytes;
  private long largest;
  private long nanoseconds;

  void add(int messageBytes) {
    messages++;
    bytes += messageBytes;
    largest = Math.max(largest, messageBytes);
  }

  void addNanoseconds(long spent) {
    nanoseconds += spent;
  }

  void clear() {
    messages = 0;
    bytes = 0;
    largest = 0;
    nanoseconds = 0;
  }

  long messages() {
    return messages;
  }

  long bytes() {
    return bytes;
  }

  long largest() {
    return largest;
  }

  long nanoseconds() {
    return nanoseconds;
  }
}
