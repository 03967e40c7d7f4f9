package org.mimosacleat.lab.measure.lists;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Reading;

class ListExperimentsTest {
  private static final long SEED = 1;

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void versionsLoseNoAcceptedEditAndNeverRevert(int index) {
    Deployment deployment = Deployment.ALL.get(index);
    System.out.println(deployment.name() + ", seed " + SEED);
    List<Reading> readings = new ListRaceExperiment().run(deployment, SEED);
    readings.forEach(System.out::println);

    assertEquals(0, value(readings, "accepted edits lost", "versions, conditional write"));
    assertEquals(0, value(readings, "reversions at proxies", "versions, conditional write"));
    assertTrue(value(readings, "accepted edits lost", "time and source, whole list") > 0);
    assertTrue(value(readings, "reversions at proxies", "time and source, whole list") > 0);
  }

  @Test
  void storeReturnStaysBelowStoreCapacity() {
    System.out.println("seed " + SEED);
    List<Reading> readings = new StoreReturnExperiment().run(Deployment.KAITIAKI, SEED);
    readings.forEach(System.out::println);

    assertTrue(value(readings, "busiest second after", "gate, 6500 processes") < 2000);
    assertEquals(6500, value(readings, "processes served after", "gate, 6500 processes"));
  }

  private static double value(List<Reading> readings, String measure, String variant) {
    return readings.stream()
        .filter(reading -> reading.measure().equals(measure))
        .filter(reading -> reading.variant().equals(variant))
        .findFirst()
        .orElseThrow()
        .value();
  }
}
