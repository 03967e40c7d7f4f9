package org.mimosacleat.core.credit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class CreditPacerTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final int DAYS = 10;
  private static final long GRANTED = DAYS * 86_400L * 100;

  private final CreditPacer pacer =
      new CreditPacer(
          new CreditGrant(GRANTED, START, START.plus(Duration.ofDays(DAYS))),
          new PacingSettings(Duration.ofMinutes(10), 10, 1000, 0));

  private static DemandProfile busyHalfTheDay(double rate) {
    DemandProfile profile = DemandProfile.UNKNOWN;
    for (int hour = 0; hour < DemandProfile.HOURS; hour++) {
      profile = profile.withSample(START.plus(Duration.ofHours(hour)), hour < 12 ? 0 : rate);
    }
    return profile;
  }

  @Test
  void capIsTheEvenRateWhileDemandIsUnknown() {
    assertEquals(100, pacer.cap(GRANTED, START, DemandProfile.UNKNOWN), 0.01);
  }

  @Test
  void creditsSavedInQuietHoursRaiseTheCapInBusyHours() {
    assertEquals(200, pacer.cap(GRANTED, START, busyHalfTheDay(500)), 0.01);
  }

  @Test
  void demandCoveredByTheCreditsIsNotCapped() {
    assertEquals(1000, pacer.cap(GRANTED, START, busyHalfTheDay(150)), 0.01);
  }

  @Test
  void minimumRateIsSustainableUntilExpiry() {
    Instant lastDay = START.plus(Duration.ofDays(DAYS - 1));
    long balance = 10 * 86_400 + 600;
    double cap = pacer.cap(balance, lastDay, busyHalfTheDay(0));

    assertTrue(balance - cap * 600 >= 10 * (86_400 - 600) - 1, "cap " + cap);
  }

  @Test
  void wantedFleetIsLimitedToTheCapButNeverBelowTheMinimum() {
    CreditPrices prices = new CreditPrices(100, 1);
    FleetSize minimum = new FleetSize(3, 30);
    FleetSize wanted = new FleetSize(13, 130);

    assertEquals(wanted, wanted.limitedTo(1430, minimum, prices));
    assertEquals(new FleetSize(8, 80), wanted.limitedTo(880, minimum, prices));
    assertEquals(minimum, wanted.limitedTo(50, minimum, prices));
  }
}
