package org.mimosacleat.serving.promotion;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.mimosacleat.core.id.GroupId;

/** Caches the newest record of each group that this proxy has read or written. */
public final class PrimaryRecords {
  private final ConcurrentHashMap<GroupId, RecordedPrimary> records = new ConcurrentHashMap<>();
  private final Consumer<RecordedPrimary> listener;

  /** Creates an empty cache; {@code listener} receives each newer record. */
  public PrimaryRecords(Consumer<RecordedPrimary> listener) {
    this.listener = listener;
  }

  /** Stores a record unless the cached one is as new or newer. */
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

  /** Returns the newest known record of a group. */
  public Optional<RecordedPrimary> find(GroupId group) {
    return Optional.ofNullable(records.get(group));
  }
}
