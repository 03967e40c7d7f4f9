package org.mimosacleat.serving.promotion;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.mimosacleat.core.id.GroupId;

/** The newest records of all groups that this proxy has seen. */
public final class PrimaryRecords {
  private final ConcurrentHashMap<GroupId, RecordedPrimary> records = new ConcurrentHashMap<>();
  private final Consumer<RecordedPrimary> listener;

  /** Makes an empty list; the listener is told each newer record. */
  public PrimaryRecords(Consumer<RecordedPrimary> listener) {
    this.listener = listener;
  }

  /** Takes over a record unless a newer one is known. */
  public void put(RecordedPrimary read) {
    RecordedPrimary kept =
        records.merge(
            read.record().group(),
            read,
            (known, newer) -> newer.version() > known.version() ? newer : known);
    if (kept == read) {
      listener.accept(read);
    }
  }

  /** Returns the newest record of a group. */
  public Optional<RecordedPrimary> find(GroupId group) {
    return Optional.ofNullable(records.get(group));
  }
}
