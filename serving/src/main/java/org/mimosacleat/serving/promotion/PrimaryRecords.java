package org.mimosacleat.serving.promotion;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * Caches the latest record of each group that this proxy has read or written. The store may come
 * back from a copy that lacks it; the cached record then stays in force, with the version of the
 * row that the store has now, until it is written again.
 */
public final class PrimaryRecords {
  private final ConcurrentHashMap<GroupId, Known> records = new ConcurrentHashMap<>();
  private final Consumer<RecordedPrimary> listener;

  /** Creates an empty cache; {@code listener} receives each newer record. */
  public PrimaryRecords(Consumer<RecordedPrimary> listener) {
    this.listener = listener;
  }

  /**
   * Stores a record unless the cached one has the same version or a newer one. A later record that
   * arrives after the store has lost it is kept too.
   */
  public void put(RecordedPrimary read) {
    GroupId group = read.record().group();
    Known before = records.get(group);
    Known kept = records.merge(group, new Known(read, false), Known::updatedBy);
    if (kept != before) {
      listener.accept(kept.latest());
    }
  }

  /**
   * Applies that the store had records of these groups only.
   *
   * @param version the version of the store at which they were read
   */
  public void retain(Set<GroupId> present, StoreVersion version) {
    StoreVersion absent = StoreVersion.absent(version.era());
    for (GroupId group : records.keySet()) {
      if (!present.contains(group)) {
        markLost(group, absent);
      }
    }
  }

  private void markLost(GroupId group, StoreVersion absent) {
    Known before = records.get(group);
    Known kept = records.computeIfPresent(group, (_, known) -> known.lostAt(absent));
    if (kept != before) {
      listener.accept(kept.latest());
    }
  }

  /** Returns the latest known record of a group, with the version of its row in the store. */
  public Optional<RecordedPrimary> find(GroupId group) {
    return Optional.ofNullable(records.get(group)).map(Known::latest);
  }

  /** Returns whether a record that was agreed on after this one is known. */
  boolean knowsLaterThan(PrimaryRecord record) {
    return find(record.group()).filter(known -> known.record().isLaterThan(record)).isPresent();
  }

  /** Returns whether the store has lost the latest record of a group. */
  boolean isLost(GroupId group) {
    Known known = records.get(group);
    return known != null && known.lost();
  }

  /** The latest record, and whether the row of its version holds an earlier one, or none. */
  private record Known(RecordedPrimary latest, boolean lost) {
    Known updatedBy(Known read) {
      StoreVersion version = read.latest.version();
      if (version.isAfter(latest.version())) {
        return latest.record().isLaterThan(read.latest.record())
            ? lostAt(version)
            : read.withCopiesBefore(latest);
      }
      return read.latest.record().isLaterThan(latest.record())
          ? new Known(new RecordedPrimary(read.latest.record(), latest.version()), true)
          : this;
    }

    /** Keeps copies of the log that an older copy of the store lacks. */
    private Known withCopiesBefore(RecordedPrimary before) {
      PrimaryRecord record = latest.record();
      boolean isSameRound = !record.isLaterThan(before.record());
      boolean isSameEra = latest.version().era().equals(before.version().era());
      if (!isSameRound || isSameEra || !before.record().copies().areKept()) {
        return this;
      }
      LogCopies all = record.copies().and(before.record().copies());
      return all.equals(record.copies())
          ? this
          : new Known(new RecordedPrimary(record.withCopies(all), latest.version()), true);
    }

    private Known lostAt(StoreVersion version) {
      return version.isAfter(latest.version())
          ? new Known(new RecordedPrimary(latest.record(), version), true)
          : this;
    }
  }
}
