package org.mimosacleat.serving.feed;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * How far the changes of one table are known, and whether the changes that another proxy passes on
 * continue this without a gap. After a change of that proxy, and after a gap, the store has to be
 * asked once: changes may have been passed on while this proxy did not listen. Changes of another
 * era continue nothing: all rows have to be read again.
 */
public final class FeedPosition {
  /** For an answer of the store that was asked for while no source passed changes on in time. */
  public static final long NO_SOURCE = -1;

  private Optional<StoreVersion> version = Optional.empty();
  private long joinedSource = NO_SOURCE;

  /** Returns the version up to which all changes are known; empty if the table was never read. */
  public Optional<StoreVersion> version() {
    return version;
  }

  /** Forgets the version, so that the whole table is read again. */
  public void forget() {
    version = Optional.empty();
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
  public void asked(StoreVersion known, long source) {
    version = Optional.of(known);
    joinedSource = source;
  }

  /**
   * Joins a source without asking the store, after one of its pages was accepted: later pages of
   * the source continue that one.
   */
  public void joined(long source) {
    joinedSource = source;
  }

  /**
   * Accepts a page of a source. A page of an earlier era brings nothing new; one of a later era
   * continues nothing, unless it has the whole table.
   *
   * @return the rows that are new; empty if a page before this one is missing, or all rows have to
   *     be read again
   */
  public Optional<List<FeedRow>> accept(FeedPage page) {
    StoreVersion known = version.orElse(StoreVersion.NONE);
    if (known.era().isAfter(page.era())) {
      return Optional.of(List.of());
    }
    if (page.era().isAfter(known.era()) && page.isWhole()) {
      version = Optional.of(new StoreVersion(page.era(), page.version()));
      return Optional.of(page.rows());
    }
    if (page.era().isAfter(known.era())) {
      forget();
      return Optional.empty();
    }
    if (!page.continues(known.number())) {
      joinedSource = NO_SOURCE;
      return Optional.empty();
    }
    List<FeedRow> rows = page.rowsAfter(known.number());
    version = Optional.of(new StoreVersion(known.era(), Math.max(known.number(), page.version())));
    return Optional.of(rows);
  }
}
