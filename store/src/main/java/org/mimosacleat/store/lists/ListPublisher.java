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
import org.mimosacleat.store.object.OutcomeResolvingObjectStore;
import org.mimosacleat.store.object.PutCondition;
import org.mimosacleat.store.object.PutResult;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.OutcomeResolvingTableService;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.table.WriteResult;

/**
 * Publishes an edit as the next version of a list, provided that the list has not changed since the
 * version that the edit is based on.
 *
 * <p>The text is first stored as a new object. One transaction then creates the row of the version
 * and updates the head row, on the condition that neither list has a new head. The condition on the
 * edited list ensures that only one of several concurrent edits is accepted. The condition on the
 * other list ensures that the two lists stay consistent with each other. Version rows are never
 * changed, so the outcome of a transaction whose answer was lost can always be resolved.
 */
public final class ListPublisher {
  private static final int MAX_ATTEMPTS = 5;

  private final TableService table;
  private final ObjectStore objects;
  private final ListFetcher fetcher;
  private final InstantSource clock;
  private final RandomGenerator random;

  /**
   * Creates a publisher.
   *
   * @param table stores the heads and the history
   * @param objects stores the texts
   * @param clock the clock for the time of an edit and for timeouts
   * @param random the source of unique write ids; must be cryptographically strong
   */
  public ListPublisher(
      TableService table, ObjectStore objects, InstantSource clock, RandomGenerator random) {
    this.table = new OutcomeResolvingTableService(table, clock);
    this.objects = new OutcomeResolvingObjectStore(objects, clock);
    this.fetcher = new ListFetcher(this.table, this.objects);
    this.clock = clock;
    this.random = random;
  }

  /** Publishes an edit; {@code timeout} applies to each call to the platform separately. */
  public PublishResult publish(ListEdit edit, Duration timeout) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Optional<PublishResult> result = tryPublish(edit, timeout);
      if (result.isPresent()) {
        return result.get();
      }
    }
    return notStored("the " + edit.kind().other() + " changed during every attempt; try again");
  }

  /**
   * Returns empty if either list changed concurrently, so that the edit must be validated again.
   */
  private Optional<PublishResult> tryPublish(ListEdit edit, Duration timeout) {
    Either<Failure, ListHeads> heads = fetcher.heads(timeout);
    if (heads.isLeft()) {
      return Optional.of(new PublishResult.NotStored(heads.getLeft()));
    }
    ListHead head = heads.get().of(edit.kind());
    if (edit.base().isAfter(head.version())) {
      return Optional.of(new PublishResult.UnknownBase(head.version()));
    }
    if (!head.version().equals(edit.base())) {
      return Optional.of(conflict(edit, head, timeout));
    }
    return validateAndStore(edit, heads.get(), timeout);
  }

  private PublishResult conflict(ListEdit edit, ListHead head, Duration timeout) {
    Either<Failure, Optional<PublishedList>> newest = fetcher.fetch(head, timeout);
    return newest.fold(
        PublishResult.NotStored::new,
        list ->
            list.<PublishResult>map(found -> new PublishResult.Conflict(found, edit))
                .orElseGet(() -> new PublishResult.UnknownBase(head.version())));
  }

  private Optional<PublishResult> validateAndStore(
      ListEdit edit, ListHeads heads, Duration timeout) {
    Either<Failure, Optional<PublishedList>> other =
        fetcher.fetch(heads.of(edit.kind().other()), timeout);
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
    PublishedList list = publishedList(edit, writer);
    ObjectKey object = ListRows.objectKey(edit.kind(), list.version(), writer);
    ObjectPut put = new ObjectPut(object, new PutCondition.Absent(), writer, edit.text());
    return switch (objects.put(put, timeout)) {
      case PutResult.Stored _ -> commit(list, object, heads, timeout);
      case PutResult.ConditionFailed _ ->
          Optional.of(notStored("write id " + writer + " is already in use"));
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

  private PublishedList publishedList(ListEdit edit, WriteId writer) {
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
