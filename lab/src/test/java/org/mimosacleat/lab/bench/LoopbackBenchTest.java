package org.mimosacleat.lab.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.standin.endpoint.EndpointSettings;
import org.mimosacleat.standin.endpoint.EndpointStandin;
import org.mimosacleat.standin.endpoint.ReplicationDirectory;
import org.mimosacleat.wire.postgres.authentication.ScramVerifier;

@Timeout(60)
class LoopbackBenchTest {
  private static final long SEED = 14;
  private static final String PASSWORD = "weka";

  private final EndpointStandin endpoint =
      new EndpointStandin(
          new EndpointId("lone"),
          new AvailabilityZone("paraiso"),
          EndpointSettings.defaults()
              .withConnectDelay(Duration.ZERO)
              .withVerifier(ScramVerifier.of(PASSWORD.toCharArray(), 4096, new SecureRandom())),
          new MonotonicClock(),
          new SplittableRandom(SEED),
          new ReplicationDirectory());

  @BeforeEach
  void start() {
    endpoint.start();
  }

  @AfterEach
  void stop() {
    endpoint.close();
  }

  @Test
  void bothTargetsReceiveTheSameNumberOfStatements() throws Exception {
    LoopbackBenchSettings settings =
        new LoopbackBenchSettings(4, 2, 50, Duration.ofMillis(20), 10, Duration.ofMillis(1));
    BenchTarget target = target(PASSWORD);
    LoopbackReport report = new LoopbackBench(target, target, settings, new MonotonicClock()).run();
    assertEquals(100, report.latency().direct().getTotalCount());
    assertEquals(100, report.latency().proxied().getTotalCount());
    assertTrue(report.throughput().proxiedPerSecond() > 0);
  }

  @Test
  void idleConnectionsLogInAndAreAllClosed() throws Exception {
    BenchTarget target = target(PASSWORD);
    IdleConnectionBench bench =
        new IdleConnectionBench(target, ResidentMemory.ofCurrentProcess(), Duration.ZERO);
    MemoryReport report = bench.run(20, 2);
    assertEquals(
        List.of(0, 10, 20), report.readings().stream().map(MemoryReading::connections).toList());
    while (endpoint.statistics().openConnections() > 0) {
      assertFalse(Thread.interrupted(), "connections still open when the test timed out");
    }
  }

  @Test
  void refusedLoginIsReported() {
    IdleConnectionBench bench =
        new IdleConnectionBench(target("wrong"), ResidentMemory.ofCurrentProcess(), Duration.ZERO);
    assertThrows(IOException.class, () -> bench.run(2, 1));
  }

  @Test
  void slopeIsFittedOverAllReadings() {
    MemoryReport report =
        new MemoryReport(
            List.of(
                new MemoryReading(0, 1000),
                new MemoryReading(10, 1310),
                new MemoryReading(20, 1600)));
    assertEquals(30, report.bytesPerConnection(), 1e-9);
  }

  private BenchTarget target(String password) {
    return new BenchTarget(endpoint.address(), "lone", "proxy", password);
  }
}
