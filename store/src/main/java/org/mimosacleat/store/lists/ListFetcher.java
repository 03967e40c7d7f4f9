package org.mimosacleat.store.lists;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.ListVersions;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.store.object.ObjectRead;
import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.TableService;

/**
 * Reads the lists from the platform. A poll is one query that returns two rows; the text of a list
 * is read only if its version is new.
 */
public final class ListFetcher {
  private final TableService table;
  private final ObjectStore objects;

  /**
   * Creates a fetcher that reads heads and history from {@code table} and texts from {@code
   * objects}.
   */
  public ListFetcher(TableService table, ObjectStore objects) {
    this.table = table;
    this.objects = objects;
  }

  /** Returns the newest version numbers of both lists. */
  public Either<Failure, ListVersions> versions(Duration timeout) {
    return heads(timeout).map(ListHeads::versions);
  }

  /**
   * Returns the newest version of each list that is newer than the known version. Allowances come
   * first because plans refer to them.
   */
  public Either<Failure, List<PublishedList>> newerThan(ListVersions known, Duration timeout) {
    return heads(timeout).flatMap(heads -> fetchNewer(heads, known, timeout));
  }

  /** Returns the newest version of a list; empty before the first version. */
  public Either<Failure, Optional<PublishedList>> newest(ListKind kind, Duration timeout) {
    return heads(timeout).flatMap(heads -> fetch(heads.of(kind), timeout));
  }

  /** Returns one version of a list; empty if it does not exist. */
  public Either<Failure, Optional<PublishedList>> version(
      ListKind kind, ListVersion version, Duration timeout) {
    return versionRow(kind, version, timeout)
        .flatMap(
            row ->
                row.isEmpty()
                    ? Either.right(Optional.empty())
                    : fetchByRow(kind, row.get(), timeout).map(Optional::of));
  }

  /** Returns the latest versions of a list with empty texts, newest first. */
  public Either<Failure, List<PublishedList>> history(ListKind kind, int limit, Duration timeout) {
    Either<Failure, ListHeads> heads = heads(timeout);
    if (heads.isLeft()) {
      return Either.left(heads.getLeft());
    }
    long newest = heads.get().of(kind).version().number();
    long oldest = Math.max(1, newest - limit + 1);
    List<PublishedList> history = new ArrayList<>();
    for (long number = newest; number >= oldest; number--) {
      Either<Failure, Optional<Row>> row = versionRow(kind, new ListVersion(number), timeout);
      if (row.isLeft()) {
        return Either.left(row.getLeft());
      }
      row.get().ifPresent(found -> history.add(ListRows.publishedList(kind, found, "")));
    }
    return Either.right(history);
  }

  Either<Failure, ListHeads> heads(Duration timeout) {
    return table.list(ListRows.HEAD_KIND, timeout).map(ListRows::heads);
  }

  Either<Failure, Optional<PublishedList>> fetch(ListHead head, Duration timeout) {
    return head.row().isEmpty()
        ? Either.right(Optional.empty())
        : fetchByRow(head.kind(), head.row().get(), timeout).map(Optional::of);
  }

  private Either<Failure, List<PublishedList>> fetchNewer(
      ListHeads heads, ListVersions known, Duration timeout) {
    List<PublishedList> newer = new ArrayList<>();
    for (ListKind kind : List.of(ListKind.ALLOWANCES, ListKind.PLANS)) {
      ListHead head = heads.of(kind);
      if (!head.version().isAfter(known.of(kind))) {
        continue;
      }
      Either<Failure, Optional<PublishedList>> list = fetch(head, timeout);
      if (list.isLeft()) {
        return Either.left(list.getLeft());
      }
      list.get().ifPresent(newer::add);
    }
    return Either.right(newer);
  }

  private Either<Failure, Optional<Row>> versionRow(
      ListKind kind, ListVersion version, Duration timeout) {
    return table.get(ListRows.versionKey(kind, version), timeout);
  }

  private Either<Failure, PublishedList> fetchByRow(ListKind kind, Row row, Duration timeout) {
    return objects
        .get(ListRows.objectKeyOf(row), Optional.empty(), timeout)
        .flatMap(read -> publishedList(kind, row, read));
  }

  private static Either<Failure, PublishedList> publishedList(
      ListKind kind, Row row, ObjectRead read) {
    if (read instanceof ObjectRead.Found found) {
      return Either.right(ListRows.publishedList(kind, row, found.object().text()));
    }
    String detail = "list text not found: object " + ListRows.objectKeyOf(row) + " is missing";
    return Either.left(new Failure(ErrorKind.UNAVAILABLE, detail));
  }
}
