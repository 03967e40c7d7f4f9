package org.mimosacleat.lab.measure.lists;

import java.util.List;

/**
 * The list as one operator read it before an edit.
 *
 * @param version the version, where the variant has one
 * @param values the edit that set each key, zero if none
 */
record Snapshot(long version, List<Long> values) {
  Snapshot {
    values = List.copyOf(values);
  }
}
