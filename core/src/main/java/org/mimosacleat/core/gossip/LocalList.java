package org.mimosacleat.core.gossip;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** The local copy of one list, with its latest deltas for peers that are a few versions behind. */
final class LocalList {
  private static final int MAX_DELTAS = 64;

  private final Deque<ListUpdate> deltas = new ArrayDeque<>();
  private Optional<PublishedList> current = Optional.empty();
  private Optional<Instant> fetchStartedAt = Optional.empty();

  ListVersion version() {
    return current.map(PublishedList::version).orElse(ListVersion.NONE);
  }

  /**
   * Applies an update if its version is newer.
   *
   * @return the updated list, or empty if the update was not applied
   */
  Optional<PublishedList> apply(ListUpdate update) {
    if (!update.version().isAfter(version())) {
      return Optional.empty();
    }
    Optional<PublishedList> next =
        switch (update) {
          case ListUpdate.Full full -> Optional.of(full.list());
          case ListDelta delta -> current.flatMap(delta::applyTo);
        };
    next.ifPresent(this::replace);
    return next;
  }

  /**
   * Returns the deltas from {@code base} to the local version, or the full list if a delta is
   * missing.
   */
  List<ListUpdate> updatesSince(ListVersion base) {
    List<ListUpdate> later = new ArrayList<>();
    deltas.stream().filter(delta -> delta.version().isAfter(base)).forEach(later::add);
    if (later.size() == version().number() - base.number()) {
      return later;
    }
    return current.<ListUpdate>map(ListUpdate.Full::new).map(List::of).orElse(List.of());
  }

  /** Records the start of a fetch and returns true, unless another fetch is in progress. */
  boolean tryStartFetch(Instant now, Duration timeout) {
    if (fetchStartedAt.filter(start -> now.isBefore(start.plus(timeout))).isPresent()) {
      return false;
    }
    fetchStartedAt = Optional.of(now);
    return true;
  }

  private void replace(PublishedList next) {
    boolean isNextVersion = current.isPresent() && next.version().equals(version().next());
    if (isNextVersion) {
      deltas.addLast(ListDelta.between(current.get(), next));
    } else {
      deltas.clear();
    }
    if (deltas.size() > MAX_DELTAS) {
      deltas.removeFirst();
    }
    current = Optional.of(next);
    fetchStartedAt = Optional.empty();
  }
}
