package org.mimosacleat.serving.promotion;

import org.mimosacleat.serving.routing.GroupState;
import org.mimosacleat.serving.routing.ReplacementKind;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * A primary record with its version in the shared store.
 *
 * @param record the record
 * @param version the version for a conditional update; all records share one version counter
 */
public record RecordedPrimary(PrimaryRecord record, StoreVersion version) {
  /**
   * Returns whether the record is known to be the latest one. If it is not, the store may have lost
   * a later one, and nobody may replace the primary or begin to use it.
   */
  public boolean isConfirmed() {
    return record.isConfirmedIn(version.era());
  }

  private ReplacementKind replacementKind() {
    return record
        .replacement()
        .map(
            replacement ->
                replacement.planned() ? ReplacementKind.PLANNED : ReplacementKind.UNPLANNED)
        .orElse(ReplacementKind.NONE);
  }

  /** Makes this proxy follow the record, unless it has followed a newer one. */
  void applyTo(GroupState state) {
    state.followRecord(record.primary(), record.term(), replacementKind(), version);
  }
}
