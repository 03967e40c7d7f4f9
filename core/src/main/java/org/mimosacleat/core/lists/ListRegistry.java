package org.mimosacleat.core.lists;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.settings.SettingsProblem;

/**
 * Holds the lists in force in this process. Offer it every version that arrives, from the store or
 * from a peer, in any order and any number of times: a version number never goes down. Requests
 * read {@link #inForce()} once and keep that snapshot. Safe for several threads, without locks.
 */
public final class ListRegistry {
  private final AtomicReference<ListsInForce> inForce = new AtomicReference<>(ListsInForce.NONE);

  /** Returns the lists in force now. */
  public ListsInForce inForce() {
    return inForce.get();
  }

  /** Puts a version in force if it is newer than the present one and passes the checks. */
  public Adoption offer(PublishedList offered) {
    while (true) {
      ListsInForce before = inForce.get();
      ListVersion present = before.version(offered.kind());
      if (!offered.version().isAfter(present)) {
        return notNewer(before, offered);
      }
      Either<List<SettingsProblem>, ListPair> changed = read(before, offered);
      if (changed.isLeft()) {
        return new Adoption.Refused(changed.getLeft());
      }
      if (inForce.compareAndSet(before, before.with(offered, changed.get()))) {
        List<ListChange> changes = ListDiff.between(before.text(offered.kind()), offered.text());
        return new Adoption.Adopted(offered, present, changes);
      }
    }
  }

  private static Adoption notNewer(ListsInForce present, PublishedList offered) {
    ListVersion version = present.version(offered.kind());
    String writer = present.list(offered.kind()).map(PublishedList::writer).orElse("");
    boolean conflicting =
        offered.version().equals(version) && !writer.isEmpty() && !offered.writer().equals(writer);
    return conflicting
        ? new Adoption.Conflicting(writer, offered.writer())
        : new Adoption.NotNewer(version);
  }

  private static Either<List<SettingsProblem>, ListPair> read(
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
