package org.mimosacleat.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.position.Position;

/**
 * The positions that the primary was proven to have, by the clock of this proxy alone.
 *
 * <p>Each sample says: every write that was acknowledged before the question was sent is included
 * in the position that came back. The history is immutable; {@link #with} returns a longer one. It
 * keeps at most {@value #MAXIMUM_SAMPLES} samples, dense for the last seconds and thinner before.
 */
public final class PrimaryHistory {
  /** The most samples that are kept. */
  public static final int MAXIMUM_SAMPLES = 128;

  /** Samples closer than this replace each other. */
  static final Duration MINIMUM_SPACING = Duration.ofMillis(5);

  private static final PrimaryHistory EMPTY = new PrimaryHistory(List.of());

  private final List<Sample> samples;

  private PrimaryHistory(List<Sample> samples) {
    this.samples = samples;
  }

  /** Returns a history without samples; each term starts with one. */
  public static PrimaryHistory empty() {
    return EMPTY;
  }

  /**
   * Returns this history with one more sample; a sample older than the last is left out.
   *
   * @param askedAt when the question was sent, by this proxy's clock
   * @param position what the primary answered
   */
  public PrimaryHistory with(Instant askedAt, Position position) {
    Sample sample = new Sample(askedAt, position);
    if (!samples.isEmpty() && !askedAt.isAfter(samples.getLast().askedAt())) {
      return this;
    }
    List<Sample> extended = new ArrayList<>(samples);
    if (lastSamplesAreTooClose()) {
      extended.removeLast();
    }
    extended.add(sample);
    return new PrimaryHistory(extended.size() > MAXIMUM_SAMPLES ? thinned(extended) : extended);
  }

  /**
   * Returns the earliest position that is proven to include every write acknowledged before {@code
   * moment}, or empty if no question was sent at or after it.
   */
  public Optional<Position> including(Instant moment) {
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

  /** Returns when the primary was first asked and had {@code position}, as far as is known. */
  Optional<Instant> firstSeenAt(Position position) {
    return samples.stream()
        .filter(sample -> sample.position().includes(position))
        .map(Sample::askedAt)
        .findFirst();
  }

  /** Returns when the primary was first asked and had more than {@code position}. */
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
      Checks.notNull("time of the question", askedAt);
      Checks.notNull("position of the primary", position);
    }
  }
}
