package org.mimosacleat.serving.feed;

import org.mimosacleat.serving.version.StoreVersion;

/**
 * A peer's statement about a version that is not applied yet.
 *
 * @param currentAt when the version was current
 * @param version the version that the peer had applied
 */
record Voucher(ClockReading currentAt, StoreVersion version) {
  /** Returns whether a proxy that has applied a version has the changes that this one covers. */
  boolean isCoveredBy(StoreVersion applied) {
    return applied.era().equals(version.era()) && !version.isAfter(applied);
  }
}
