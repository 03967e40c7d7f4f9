package org.mimosacleat.lab.measure.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Reads the processor time of the current thread, which excludes other load on the machine. */
final class ProcessorTime {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private ProcessorTime() {}

  /** Returns the processor time that the current thread has used, in nanoseconds. */
  static long now() {
    return THREADS.getCurrentThreadCpuTime();
  }
}
