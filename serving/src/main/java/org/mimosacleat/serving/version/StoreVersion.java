package org.mimosacleat.serving.version;

import java.util.Comparator;
import org.mimosacleat.core.check.Checks;

/**
 * A version of the shared store or of one of its rows. Versions of an earlier era are older than
 * all of a later one, whatever their numbers.
 *
 * @param era the era in which the store gave out the number
 * @param number the number; zero is the version of a row that does not exist
 */
public record StoreVersion(StoreEra era, long number) implements Comparable<StoreVersion> {
  /** Older than every version that the store gives out. */
  public static final StoreVersion NONE = new StoreVersion(StoreEra.UNKNOWN, 0);

  /** Enough for thousands of versions a second for years. */
  private static final int NUMBER_BITS = 40;

  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparing(StoreVersion::era).thenComparingLong(StoreVersion::number);

  /** Checks the components. */
  public StoreVersion {
    Checks.notNull("era", era);
    Checks.notNegative("version of the store", number);
  }

  /** Returns the version, in an era, of a row that does not exist. */
  public static StoreVersion absent(StoreEra era) {
    return new StoreVersion(era, 0);
  }

  /** Returns whether this version is newer than {@code other}. */
  public boolean isAfter(StoreVersion other) {
    return compareTo(other) > 0;
  }

  /** Returns a fencing token that grows with this version, also over the eras. */
  public long asToken() {
    return (era.number() << NUMBER_BITS) + number;
  }

  @Override
  public int compareTo(StoreVersion other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return number + " of era " + era;
  }
}
