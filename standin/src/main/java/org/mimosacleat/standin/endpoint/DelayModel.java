package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** The distribution of a simulated delay. */
public sealed interface DelayModel {
  /** No delay. */
  DelayModel NONE = new Constant(Duration.ZERO);

  /** Always the same delay. */
  record Constant(Duration delay) implements DelayModel {}

  /**
   * A log-normal distribution.
   *
   * @param median the median
   * @param sigma the standard deviation of the logarithm
   */
  record LogNormal(Duration median, double sigma) implements DelayModel {}

  /** Samples one delay. */
  default Duration sample(RandomGenerator random) {
    return switch (this) {
      case Constant constant -> constant.delay();
      case LogNormal distribution -> {
        double factor = Math.exp(distribution.sigma() * random.nextGaussian());
        yield Duration.ofNanos((long) (distribution.median().toNanos() * factor));
      }
    };
  }
}
