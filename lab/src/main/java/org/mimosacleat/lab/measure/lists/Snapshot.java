package org.mimosacleat.lab.measure.lists;

import java.util.List;

/**
 * The list as one operator read it before an edit.
 *
 * @param version the version of the list; zero if the variant has no versions
 * @param values the serial of the edit that set each key; zero if the key was never edited
 */
record Snapshot(long version, List<Long> values) {
  Snapshot {
    values = List.copyOf(values);
  }
}
