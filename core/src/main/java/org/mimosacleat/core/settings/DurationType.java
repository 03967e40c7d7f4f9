package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.time.DateTimeException;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A duration in a range, written as a whole number and a unit: {@code 250ms}, {@code 3s}, {@code
 * 5m}, {@code 2h}, {@code 30d}.
 *
 * @param minimum the smallest allowed value
 * @param maximum the largest allowed value
 */
public record DurationType(Duration minimum, Duration maximum) implements ValueType<Duration> {
  private static final Pattern PATTERN = Pattern.compile("(\\d{1,15})\\s*(ms|s|m|h|d)");

  @Override
  public Either<String, Duration> parse(String text) {
    Matcher matcher = PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Either.left(allowed());
    }
    return inRange(Long.parseLong(matcher.group(1)), matcher.group(2));
  }

  private Either<String, Duration> inRange(long amount, String unit) {
    try {
      Duration value = of(amount, unit);
      boolean inRange = value.compareTo(minimum) >= 0 && value.compareTo(maximum) <= 0;
      return inRange ? Either.right(value) : Either.left(allowed());
    } catch (ArithmeticException | DateTimeException tooLong) {
      return Either.left(allowed());
    }
  }

  private static Duration of(long amount, String unit) {
    return switch (unit) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      case "m" -> Duration.ofMinutes(amount);
      case "h" -> Duration.ofHours(amount);
      default -> Duration.ofDays(amount);
    };
  }

  /** Formats a duration in the largest unit that represents it exactly. */
  public static String format(Duration value) {
    long milliseconds = value.toMillis();
    if (milliseconds % Duration.ofSeconds(1).toMillis() != 0) {
      return milliseconds + "ms";
    }
    if (milliseconds == 0 || milliseconds % Duration.ofMinutes(1).toMillis() != 0) {
      return value.toSeconds() + "s";
    }
    if (milliseconds % Duration.ofHours(1).toMillis() != 0) {
      return value.toMinutes() + "m";
    }
    return milliseconds % Duration.ofDays(1).toMillis() != 0
        ? value.toHours() + "h"
        : value.toDays() + "d";
  }

  @Override
  public String allowed() {
    return "a duration from "
        + format(minimum)
        + " to "
        + format(maximum)
        + " (a whole number and ms, s, m, h or d)";
  }
}
