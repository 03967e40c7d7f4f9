package org.mimosacleat.serving.promotion;

import org.mimosacleat.serving.routing.GroupState;

/**
 * A primary record with its version in the shared store.
 *
 * @param record the record
 * @param version the version for a conditional update; all records share one version counter
 */
public record RecordedPrimary(PrimaryRecord record, long version) {
  /** The version of a record that does not exist. */
  public static final long ABSENT = 0;

  /** Makes this proxy follow the record, unless it has followed a newer one. */
  void applyTo(GroupState state) {
    state.followRecord(record.primary(), record.term(), record.replacement().isPresent(), version);
  }
}
