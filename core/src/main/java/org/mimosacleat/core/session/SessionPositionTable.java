package org.mimosacleat.core.session;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;

/**
 * Session positions in a lock-free hash table of fixed size, without eviction.
 *
 * <p>Each slot holds the highest log position that was acknowledged to any session that hashes to
 * it. The position required for a session therefore always includes its own writes, and for two
 * sessions that share a slot it may be slightly later than necessary. A slot takes {@value
 * #BYTES_PER_SLOT} bytes. Log positions are comparable across terms here, because an acknowledged
 * write is part of the history of every later term.
 */
public final class SessionPositionTable implements SessionPositions {
  /** The memory used by one slot, in bytes. */
  public static final int BYTES_PER_SLOT = 8;

  private final AtomicLongArray slots;
  private final AtomicReference<Optional<Position>> floor = new AtomicReference<>(Optional.empty());
  private final AtomicReference<Position> highestAcknowledged =
      new AtomicReference<>(Position.NONE);

  /**
   * Creates an empty table.
   *
   * @param slotCount the number of slots, a power of two
   */
  public SessionPositionTable(int slotCount) {
    Checks.positive("number of slots", slotCount);
    if (Integer.bitCount(slotCount) != 1) {
      throw new IllegalArgumentException(
          "number of slots must be a power of two, but was " + slotCount);
    }
    this.slots = new AtomicLongArray(slotCount);
  }

  @Override
  public Optional<Position> required(SessionId session) {
    long own = slots.get(slotOf(session));
    return floor.get().map(position -> atLeast(position, own));
  }

  @Override
  public Optional<Position> highest() {
    return floor.get().map(position -> atLeast(position, highestAcknowledged.get().log().bytes()));
  }

  @Override
  public void recordAcknowledgedWrite(SessionId session, Position commit) {
    slots.accumulateAndGet(slotOf(session), commit.log().bytes(), Math::max);
    highestAcknowledged.accumulateAndGet(commit, SessionPositionTable::withLongerLog);
  }

  @Override
  public void setFloor(Position position) {
    // A later term replaces the floor even if its log is shorter: log that the earlier term wrote
    // past that position was never acknowledged.
    floor.updateAndGet(
        known -> Optional.of(Position.latest(known.orElse(Position.NONE), position)));
  }

  @Override
  public void clearFloor() {
    floor.set(Optional.empty());
  }

  private static Position withLongerLog(Position first, Position second) {
    return first.log().compareTo(second.log()) >= 0 ? first : second;
  }

  private static Position atLeast(Position position, long bytes) {
    if (position.log().bytes() >= bytes) {
      return position;
    }
    return new Position(position.term(), new LogPosition(bytes));
  }

  private int slotOf(SessionId session) {
    // Fibonacci hashing: the factor is 2^32 divided by the golden ratio.
    int hash = session.value().hashCode() * 0x9E37_79B9;
    return (hash ^ (hash >>> Short.SIZE)) & (slots.length() - 1);
  }
}
