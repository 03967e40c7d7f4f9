package org.mimosacleat.core.lists;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.settings.SettingsProblem;

/**
 * Holds the active lists of this process. Every version received from the store or from a peer is
 * offered to it, in any order and any number of times; the active version number never decreases.
 * Each request calls {@link #activeLists()} once and uses that snapshot. Thread-safe and lock-free.
 */
public final class ListRegistry {
  private final AtomicReference<ActiveLists> activeLists = new AtomicReference<>(ActiveLists.NONE);

  /** Returns the currently active lists. */
  public ActiveLists activeLists() {
    return activeLists.get();
  }

  /** Activates a version if it is newer than the active one and its text is valid. */
  public OfferResult offer(PublishedList offered) {
    while (true) {
      ActiveLists before = activeLists.get();
      ListVersion active = before.version(offered.kind());
      if (!offered.version().isAfter(active)) {
        return notNewer(before, offered);
      }
      Either<List<SettingsProblem>, ListPair> parsed = parseOffered(before, offered);
      if (parsed.isLeft()) {
        return new OfferResult.Rejected(parsed.getLeft());
      }
      if (activeLists.compareAndSet(before, before.withList(offered, parsed.get()))) {
        List<ListChange> changes = ListDiff.between(before.text(offered.kind()), offered.text());
        return new OfferResult.Applied(offered, active, changes);
      }
    }
  }

  private static OfferResult notNewer(ActiveLists active, PublishedList offered) {
    ListVersion version = active.version(offered.kind());
    String writer = active.list(offered.kind()).map(PublishedList::writer).orElse("");
    boolean isConflict =
        offered.version().equals(version) && !writer.isEmpty() && !offered.writer().equals(writer);
    return isConflict
        ? new OfferResult.Conflicting(writer, offered.writer())
        : new OfferResult.NotNewer(version);
  }

  private static Either<List<SettingsProblem>, ListPair> parseOffered(
      ActiveLists before, PublishedList offered) {
    ListPair pair = before.pair();
    return switch (offered.kind()) {
      case PLANS ->
          PlansText.parse(offered.text()).map(plans -> new ListPair(plans, pair.allowances()));
      case ALLOWANCES ->
          AllowancesText.parse(offered.text())
              .map(allowances -> new ListPair(pair.plans(), allowances));
    };
  }
}
