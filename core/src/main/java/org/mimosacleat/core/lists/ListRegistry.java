package org.mimosacleat.core.lists;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.settings.SettingsProblem;

/**
 * Holds the active lists of this process. Every version received from the store or from a peer is
 * offered to it, in any order and any number of times; the active version number never decreases.
 * Each request calls {@link #inForce()} once and uses that snapshot. Thread-safe and lock-free.
 */
public final class ListRegistry {
  private final AtomicReference<ListsInForce> activeLists =
      new AtomicReference<>(ListsInForce.NONE);

  /** Returns the currently active lists. */
  public ListsInForce inForce() {
    return activeLists.get();
  }

  /** Activates a version if it is newer than the active one and its text is valid. */
  public Adoption offer(PublishedList offered) {
    while (true) {
      ListsInForce before = activeLists.get();
      ListVersion active = before.version(offered.kind());
      if (!offered.version().isAfter(active)) {
        return notNewer(before, offered);
      }
      Either<List<SettingsProblem>, ListPair> parsed = parseOffered(before, offered);
      if (parsed.isLeft()) {
        return new Adoption.Refused(parsed.getLeft());
      }
      if (activeLists.compareAndSet(before, before.withList(offered, parsed.get()))) {
        List<ListChange> changes = ListDiff.between(before.text(offered.kind()), offered.text());
        return new Adoption.Adopted(offered, active, changes);
      }
    }
  }

  private static Adoption notNewer(ListsInForce active, PublishedList offered) {
    ListVersion version = active.version(offered.kind());
    String writer = active.list(offered.kind()).map(PublishedList::writer).orElse("");
    boolean isConflict =
        offered.version().equals(version) && !writer.isEmpty() && !offered.writer().equals(writer);
    return isConflict
        ? new Adoption.Conflicting(writer, offered.writer())
        : new Adoption.NotNewer(version);
  }

  private static Either<List<SettingsProblem>, ListPair> parseOffered(
      ListsInForce before, PublishedList offered) {
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
