package org.mimosacleat.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** One list as this VM has it, with the last changes for peers that lag a little. */
final class HeldList {
  private static final int MAXIMUM_DELTAS = 64;

  private final Deque<ListUpdate> deltas = new ArrayDeque<>();
  private Optional<PublishedList> current = Optional.empty();
  private Optional<Instant> fetchedAt = Optional.empty();

  ListVersion version() {
    return current.map(PublishedList::version).orElse(ListVersion.NONE);
  }

  /**
   * Takes an update if it leads to a later version.
   *
   * @return the list afterwards, or empty if nothing changed
   */
  Optional<PublishedList> take(ListUpdate update) {
    if (!update.version().isAfter(version())) {
      return Optional.empty();
    }
    Optional<PublishedList> next =
        switch (update) {
          case ListUpdate.Whole whole -> Optional.of(whole.list());
          case ListDelta delta -> current.flatMap(delta::applyTo);
        };
    next.ifPresent(this::replace);
    return next;
  }

  /** Returns what leads from {@code have} to the version here: changes if kept, else the list. */
  List<ListUpdate> since(ListVersion have) {
    List<ListUpdate> later = new ArrayList<>();
    deltas.stream().filter(delta -> delta.version().isAfter(have)).forEach(later::add);
    if (later.size() == version().number() - have.number()) {
      return later;
    }
    return current.<ListUpdate>map(ListUpdate.Whole::new).map(List::of).orElse(List.of());
  }

  /** Tells whether no fetch is under way, and notes that one now is. */
  boolean startFetch(Instant now, Duration timeout) {
    if (fetchedAt.filter(at -> now.isBefore(at.plus(timeout))).isPresent()) {
      return false;
    }
    fetchedAt = Optional.of(now);
    return true;
  }

  private void replace(PublishedList next) {
    boolean follows = current.isPresent() && next.version().equals(version().next());
    if (follows) {
      deltas.addLast(ListDelta.between(current.get(), next));
    } else {
      deltas.clear();
    }
    if (deltas.size() > MAXIMUM_DELTAS) {
      deltas.removeFirst();
    }
    current = Optional.of(next);
    fetchedAt = Optional.empty();
  }
}
