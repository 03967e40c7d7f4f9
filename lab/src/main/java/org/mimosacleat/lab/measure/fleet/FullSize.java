package org.mimosacleat.lab.measure.fleet;

/**
 * The size that the fleet is designed for, and the resource limits of the control plane per node.
 */
final class FullSize {
  static final int NODES = 6_500;
  static final int DATABASES = 7_100;
  static final long SESSIONS = 24_000_000;
  static final long STATEMENTS_PER_SECOND = 5_600_000;
  static final int LIST_CHANGES_PER_DAY = 8_600;
  static final int RESTARTS_PER_DAY = 3_552;
  static final int SECONDS_PER_DAY = 86_400;
  static final double BYTES_PER_SECOND = 12_000;
  static final double MEMORY_MEGABYTES = 128;
  static final double PROCESSOR_PERCENT = 4.5;
  static final double LIST_BYTES = 1_000_000;

  private FullSize() {}
}
