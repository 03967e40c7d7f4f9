package org.mimosacleat.serving.promotion;

/**
 * A primary record with its version in the shared store.
 *
 * @param record the record
 * @param version the version for a conditional update; all records share one version counter
 */
public record RecordedPrimary(PrimaryRecord record, long version) {
  /** The version of a record that does not exist. */
  public static final long ABSENT = 0;
}
