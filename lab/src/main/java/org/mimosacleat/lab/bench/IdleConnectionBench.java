package org.mimosacleat.lab.bench;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.check.Checks;

/**
 * Opens idle connections in equal steps and reads the resident memory of the measured process after
 * each step. If the measured process is the current one, its memory includes the client sockets.
 */
public final class IdleConnectionBench {
  private final BenchTarget target;
  private final ResidentMemory memory;
  private final Duration settlingTime;

  /**
   * Creates a benchmark.
   *
   * @param target the server to connect to
   * @param memory the memory of the measured process
   * @param settlingTime the delay between a garbage collection and the reading that follows it
   */
  public IdleConnectionBench(BenchTarget target, ResidentMemory memory, Duration settlingTime) {
    this.target = target;
    this.memory = memory;
    this.settlingTime = settlingTime;
  }

  /**
   * Opens {@code connections} connections in {@code steps} steps, then closes all of them.
   *
   * @throws IOException if a connection or login fails, or the memory can't be read
   */
  public MemoryReport run(int connections, int steps) throws IOException, InterruptedException {
    Checks.positive("steps", steps);
    Checks.atLeast("connections", connections, steps);
    RawConnector connector = new RawConnector(target);
    List<Socket> sockets = new ArrayList<>();
    List<MemoryReading> readings = new ArrayList<>();
    try {
      readings.add(readMemory(0));
      for (int step = 1; step <= steps; step++) {
        int openConnections = connections * step / steps;
        while (sockets.size() < openConnections) {
          sockets.add(connector.connect());
        }
        readings.add(readMemory(openConnections));
      }
      return new MemoryReport(readings);
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  private MemoryReading readMemory(int connections) throws IOException, InterruptedException {
    System.gc();
    Thread.sleep(settlingTime);
    return new MemoryReading(connections, memory.readBytes());
  }
}
