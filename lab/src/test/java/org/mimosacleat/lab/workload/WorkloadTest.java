package org.mimosacleat.lab.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.standin.endpoint.DelayModel;
import org.mimosacleat.standin.endpoint.EndpointSettings;
import org.mimosacleat.standin.endpoint.EndpointStandin;
import org.mimosacleat.standin.endpoint.GroupStandin;

/** Runs workloads on endpoints without a proxy, so that the oracle has violations to detect. */
@Timeout(120)
class WorkloadTest {
  private static final long SEED = 15;
  private static final String DATABASE = "lending";
  private static final Scenario WRITES_ONLY =
      new Scenario(
          "writes",
          List.of(
              new Action.NonRepeatableInsert("book", "booking"),
              new Action.TransactionalInsert("upload", "reading")));

  private final InstantSource clock = new MonotonicClock();
  private final GroupStandin group =
      new GroupStandin(
          new GroupId(DATABASE),
          List.of(new AvailabilityZone("oriental"), new AvailabilityZone("paraiso")),
          EndpointSettings.defaults()
              .withConnectDelay(Duration.ZERO)
              .withLag(DelayModel.NONE, new DelayModel.Constant(Duration.ofMillis(500))),
          clock,
          new SplittableRandom(SEED));

  @BeforeEach
  void start() {
    group.start();
  }

  @AfterEach
  void stop() {
    group.close();
  }

  @Test
  void consistentServiceHasNoViolations() throws Exception {
    for (Scenario scenario : List.of(Scenario.KAITIAKI, Scenario.CARTAGO)) {
      WorkloadReport report = run(scenario, 0, 0);
      assertTrue(report.violations().isEmpty(), report.toString());
      assertEquals(0, report.refused() + report.unknown());
      assertTrue(report.actions().stream().allMatch(action -> action.served() > 0));
    }
  }

  @Test
  void readFromLaggingReplicaIsStaleAndWriteToItIsRefused() throws Exception {
    WorkloadReport report = run(WRITES_ONLY, 0, 1);
    assertTrue(report.violations().staleReads() > 0, report.toString());
    assertEquals(0, report.violations().ranThoughRefused());
    assertTrue(report.refused() > 0);
  }

  @Test
  void retryAfterLostResponseWithoutRequestIdsIsDetected() throws Exception {
    Scenario insertsOnly =
        new Scenario("charges", List.of(new Action.NonRepeatableInsert("book", "booking")));
    Workload workload =
        new Workload(
            settings(insertsOnly, 0),
            clock,
            new SplittableRandom(SEED),
            progress -> group.primary().dropNextResponse());
    assertTrue(workload.run().violations().repeatedWrites() > 0);
  }

  @Test
  void lostTornAndWronglyRefusedWritesAreCounted() throws Exception {
    WorkloadSettings settings = settings(WRITES_ONLY, 0);
    StoredRows storedRows = new StoredRows(settings);
    storedRows.createTables();
    try (ProxyConnections connections = new ProxyConnections(settings, DATABASE, "test");
        var statement = connections.get(0, Optional.empty()).createStatement()) {
      statement.execute("INSERT INTO booking (id) VALUES ('refused')");
      statement.execute("INSERT INTO reading (id) VALUES ('torn/1')");
    }
    WriteOracle oracle = new WriteOracle();
    oracle.record(new WriteKey(DATABASE, "booking", "lost"), RequestOutcome.SERVED);
    oracle.record(new WriteKey(DATABASE, "booking", "gone"), RequestOutcome.UNKNOWN);
    oracle.record(new WriteKey(DATABASE, "booking", "refused"), RequestOutcome.REFUSED);
    oracle.record(new WriteKey(DATABASE, "reading", "torn"), RequestOutcome.UNKNOWN);
    assertEquals(
        new Violations(1, 0, 1, 1, 0), new Verification(storedRows).compare(settings, oracle, 0));
  }

  private WorkloadReport run(Scenario scenario, int... endpoints) throws Exception {
    Workload workload =
        new Workload(
            settings(scenario, endpoints), clock, new SplittableRandom(SEED), progress -> {});
    return workload.run();
  }

  private WorkloadSettings settings(Scenario scenario, int... endpoints) {
    List<InetSocketAddress> addresses =
        Arrays.stream(endpoints)
            .mapToObj(group.endpoints()::get)
            .map(EndpointStandin::address)
            .toList();
    return new WorkloadSettings(
        scenario,
        addresses,
        List.of(DATABASE),
        "members",
        "",
        4,
        Duration.ofSeconds(2),
        Duration.ofMillis(10));
  }
}
