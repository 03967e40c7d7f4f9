package org.mimosacleat.serving.promotion;

/**
 * A record as it was read.
 *
 * @param record the record
 * @param version the version under which it may be replaced; versions of all records grow together
 */
public record RecordedPrimary(PrimaryRecord record, long version) {
  /** The version of a record that does not exist. */
  public static final long ABSENT = 0;
}
