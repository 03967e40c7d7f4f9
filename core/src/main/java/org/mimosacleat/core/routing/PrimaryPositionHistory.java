package org.mimosacleat.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.position.Position;

/**
 * Sampled positions of the primary, timed only by the clock of this proxy.
 *
 * <p>Each sample proves that every write acknowledged before the poll was sent is included in the
 * position that the primary returned. The history is immutable; {@link #with} returns an extended
 * copy. It keeps at most {@value #MAXIMUM_SAMPLES} samples, dense for the last seconds and sparser
 * before.
 */
public final class PrimaryPositionHistory {
  /** The maximum number of samples. */
  public static final int MAXIMUM_SAMPLES = 128;

  /** A new sample replaces the last one if the last one is closer than this to its predecessor. */
  static final Duration MINIMUM_SPACING = Duration.ofMillis(5);

  private static final PrimaryPositionHistory EMPTY = new PrimaryPositionHistory(List.of());

  private final List<Sample> samples;

  private PrimaryPositionHistory(List<Sample> samples) {
    this.samples = samples;
  }

  /** Returns a history without samples, with which each term starts. */
  public static PrimaryPositionHistory empty() {
    return EMPTY;
  }

  /**
   * Returns a copy with one more sample. A sample that is not newer than the last one is ignored.
   *
   * @param askedAt when the poll was sent, by the clock of this proxy
   * @param position the position that the primary returned
   */
  public PrimaryPositionHistory with(Instant askedAt, Position position) {
    Sample sample = new Sample(askedAt, position);
    if (!samples.isEmpty() && !askedAt.isAfter(samples.getLast().askedAt())) {
      return this;
    }
    List<Sample> extended = new ArrayList<>(samples);
    if (lastSamplesAreTooClose()) {
      extended.removeLast();
    }
    extended.add(sample);
    return new PrimaryPositionHistory(
        extended.size() > MAXIMUM_SAMPLES ? thinned(extended) : extended);
  }

  /**
   * Returns the earliest position that is proven to include every write acknowledged before {@code
   * moment}, or empty if no poll was sent at or after {@code moment}.
   */
  public Optional<Position> positionIncludingWritesBefore(Instant moment) {
    int low = 0;
    int high = samples.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (samples.get(middle).askedAt().isBefore(moment)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == samples.size() ? Optional.empty() : Optional.of(samples.get(low).position());
  }

  /** Returns the time of the first poll whose answer included {@code position}, if any. */
  Optional<Instant> firstSeenAt(Position position) {
    return samples.stream()
        .filter(sample -> sample.position().includes(position))
        .map(Sample::askedAt)
        .findFirst();
  }

  /** Returns the time of the first poll whose answer was past {@code position}, if any. */
  Optional<Instant> firstSeenAfter(Position position) {
    return samples.stream()
        .filter(sample -> sample.position().compareTo(position) > 0)
        .map(Sample::askedAt)
        .findFirst();
  }

  int size() {
    return samples.size();
  }

  private boolean lastSamplesAreTooClose() {
    int count = samples.size();
    return count >= 2
        && Duration.between(samples.get(count - 2).askedAt(), samples.get(count - 1).askedAt())
                .compareTo(MINIMUM_SPACING)
            < 0;
  }

  private static List<Sample> thinned(List<Sample> samples) {
    List<Sample> kept = new ArrayList<>(samples.size());
    for (int index = 0; index < samples.size(); index++) {
      if (index >= samples.size() / 2 || index % 2 == 0) {
        kept.add(samples.get(index));
      }
    }
    return kept;
  }

  private record Sample(Instant askedAt, Position position) {
    Sample {
      Checks.notNull("poll time", askedAt);
      Checks.notNull("position of the primary", position);
    }
  }
}
