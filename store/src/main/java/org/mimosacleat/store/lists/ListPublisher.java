package org.mimosacleat.store.lists;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListPair;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.object.ObjectPut;
import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.object.PutCondition;
import org.mimosacleat.store.object.PutResult;
import org.mimosacleat.store.object.SettlingObjectStore;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.SettlingTableService;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.table.WriteResult;

/**
 * Makes an edit the next version of a list, if nobody else has done so since the version that it
 * was based on.
 *
 * <p>The text is stored as a new object first. One transaction then creates the version's row and
 * moves the head, on condition that neither head has moved: the edited list's, so that of several
 * editors one wins; the other list's, so that the two lists always fit each other. Rows of versions
 * are never changed, so a lost answer can always be settled.
 */
public final class ListPublisher {
  private static final int MAXIMUM_ATTEMPTS = 5;

  private final TableService table;
  private final ObjectStore objects;
  private final ListFetcher fetcher;
  private final InstantSource clock;
  private final RandomGenerator random;

  /**
   * Publishes to a table and an object store.
   *
   * @param table the heads and the history
   * @param objects the texts
   * @param clock the time that an edit is marked with
   * @param random where unique write ids come from; use a cryptographic one
   */
  public ListPublisher(
      TableService table, ObjectStore objects, InstantSource clock, RandomGenerator random) {
    this.table = new SettlingTableService(table, clock);
    this.objects = new SettlingObjectStore(objects, clock);
    this.fetcher = new ListFetcher(this.table, this.objects);
    this.clock = clock;
    this.random = random;
  }

  /** Publishes an edit; {@code timeout} bounds each call to the platform. */
  public PublishResult publish(ListEdit edit, Duration timeout) {
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      Optional<PublishResult> result = attempt(edit, timeout);
      if (result.isPresent()) {
        return result.get();
      }
    }
    return notStored("the " + edit.kind().other() + " kept changing; try again");
  }

  /** Returns empty if the other list changed meanwhile, so that the check must be made again. */
  private Optional<PublishResult> attempt(ListEdit edit, Duration timeout) {
    Either<Failure, ListHeads> heads = fetcher.heads(timeout);
    if (heads.isLeft()) {
      return Optional.of(new PublishResult.NotStored(heads.getLeft()));
    }
    ListHead head = heads.get().of(edit.kind());
    if (edit.base().isAfter(head.version())) {
      return Optional.of(new PublishResult.UnknownBase(head.version()));
    }
    if (!head.version().equals(edit.base())) {
      return Optional.of(lost(edit, head, timeout));
    }
    return checked(edit, heads.get(), timeout);
  }

  private PublishResult lost(ListEdit edit, ListHead head, Duration timeout) {
    Either<Failure, Optional<PublishedList>> winner = fetcher.text(head, timeout);
    return winner.fold(
        PublishResult.NotStored::new,
        list ->
            list.<PublishResult>map(found -> new PublishResult.LostRace(found, edit))
                .orElseGet(() -> new PublishResult.UnknownBase(head.version())));
  }

  private Optional<PublishResult> checked(ListEdit edit, ListHeads heads, Duration timeout) {
    Either<Failure, Optional<PublishedList>> other =
        fetcher.text(heads.of(edit.kind().other()), timeout);
    if (other.isLeft()) {
      return Optional.of(new PublishResult.NotStored(other.getLeft()));
    }
    String otherText = other.get().map(PublishedList::text).orElse("");
    Either<List<SettingsProblem>, ListPair> pair =
        ListPair.check(edit.kind(), edit.text(), otherText);
    return pair.isLeft()
        ? Optional.of(new PublishResult.Invalid(pair.getLeft()))
        : store(edit, heads, timeout);
  }

  private Optional<PublishResult> store(ListEdit edit, ListHeads heads, Duration timeout) {
    WriteId writer = WriteId.random(random);
    PublishedList list = published(edit, writer);
    ObjectKey object = ListRows.objectKey(edit.kind(), list.version(), writer);
    ObjectPut put = new ObjectPut(object, new PutCondition.Absent(), writer, edit.text());
    return switch (objects.put(put, timeout)) {
      case PutResult.Stored _ -> commit(list, object, heads, timeout);
      case PutResult.ConditionFailed _ -> Optional.of(notStored("write id " + writer + " is used"));
      case PutResult.NotSent(Failure failure) -> Optional.of(new PublishResult.NotStored(failure));
      case PutResult.Unknown(Failure failure) -> Optional.of(new PublishResult.NotStored(failure));
    };
  }

  private Optional<PublishResult> commit(
      PublishedList list, ObjectKey object, ListHeads heads, Duration timeout) {
    return switch (table.transact(writes(list, object, heads), timeout)) {
      case WriteResult.Applied _ -> Optional.of(new PublishResult.Accepted(list));
      case WriteResult.ConditionFailed _ -> Optional.empty();
      case WriteResult.NotSent(Failure failure) ->
          Optional.of(new PublishResult.NotStored(failure));
      case WriteResult.Unknown(Failure failure) ->
          Optional.of(new PublishResult.InDoubt(list.version(), failure));
    };
  }

  private static List<RowWrite> writes(PublishedList list, ObjectKey object, ListHeads heads) {
    ListKind kind = list.kind();
    WriteId writer = new WriteId(list.writer());
    var attributes = ListRows.attributes(list, object);
    ListHead other = heads.of(kind.other());
    return List.of(
        new RowWrite.Put(
            ListRows.versionKey(kind, list.version()),
            new RowCondition.Absent(),
            writer,
            attributes),
        new RowWrite.Put(ListRows.headKey(kind), heads.of(kind).unchanged(), writer, attributes),
        new RowWrite.Check(ListRows.headKey(kind.other()), other.unchanged()));
  }

  private PublishedList published(ListEdit edit, WriteId writer) {
    ListVersion next = edit.base().next();
    return new PublishedList(
        edit.kind(),
        next,
        writer.value(),
        edit.editor(),
        clock.instant(),
        edit.note(),
        edit.text());
  }

  private static PublishResult notStored(String detail) {
    return new PublishResult.NotStored(new Failure(ErrorKind.UNAVAILABLE, detail));
  }
}
