package org.mimosacleat.serving.feed;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * How far the changes of one table are known, and whether the changes that another proxy passes on
 * continue this without a gap. After a change of that proxy, and after a gap, the store has to be
 * asked once: changes may have been passed on while this proxy did not listen.
 */
public final class FeedPosition {
  /** For an answer of the store that was asked for while no source passed changes on in time. */
  public static final long NO_SOURCE = -1;

  private OptionalLong version = OptionalLong.empty();
  private long joinedSource = NO_SOURCE;

  /** Returns the version up to which all changes are known; empty if the table was never read. */
  public OptionalLong version() {
    return version;
  }

  /** Forgets the version, so that the whole table is read again. */
  public void forget() {
    version = OptionalLong.empty();
  }

  /**
   * Returns whether the store has to be asked before pages of a source can be used.
   *
   * @param source the number of the source, see {@link FeedFollower#sourceNumber}
   */
  public boolean mustAsk(long source) {
    return version.isEmpty() || joinedSource != source;
  }

  /**
   * Records an answer of the store.
   *
   * @param source the number of the source that passed changes on before the store was asked, or
   *     {@link #NO_SOURCE}
   */
  public void asked(long known, long source) {
    version = OptionalLong.of(known);
    joinedSource = source;
  }

  /**
   * Accepts a page of the source that has been joined.
   *
   * @return the rows that are new; empty if a page before this one is missing
   */
  public Optional<List<FeedRow>> accept(FeedPage page) {
    long known = version.orElseThrow();
    if (!page.continues(known)) {
      joinedSource = NO_SOURCE;
      return Optional.empty();
    }
    List<FeedRow> rows = page.rowsAfter(known);
    version = OptionalLong.of(Math.max(known, page.version()));
    return Optional.of(rows);
  }
}
