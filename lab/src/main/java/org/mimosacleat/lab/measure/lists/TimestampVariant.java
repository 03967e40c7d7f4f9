package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.time.PausedClock;

/**
 * Last writer wins: orders edits by the clock of the proxy that accepted them, then by the index of
 * that proxy. Every edit is accepted. A message applies to the whole list or to the edited key
 * only.
 */
final class TimestampVariant implements ListVariant<TimestampVariant.Message> {
  private final PausedClock clock;
  private final List<Duration> clockErrors;
  private final boolean wholeList;
  private final List<List<Message>> currentMessages = new ArrayList<>();

  /**
   * The message that announces an accepted edit.
   *
   * @param time the time of the edit in milliseconds, by the clock of the accepting proxy
   * @param source the index of the accepting proxy
   * @param key the index of the edited key
   * @param values the whole list after the edit
   */
  record Message(long time, int source, int key, List<Long> values) {
    Message {
      values = List.copyOf(values);
    }

    boolean isAfter(Message other) {
      return time != other.time ? time > other.time : source > other.source;
    }
  }

  TimestampVariant(PausedClock clock, List<Duration> clockErrors, int keys, boolean wholeList) {
    this.clock = clock;
    this.clockErrors = clockErrors;
    this.wholeList = wholeList;
    Message initial = new Message(Long.MIN_VALUE, 0, 0, Collections.nCopies(keys, 0L));
    for (int proxy = 0; proxy < clockErrors.size(); proxy++) {
      currentMessages.add(new ArrayList<>(Collections.nCopies(keys, initial)));
    }
  }

  @Override
  public Snapshot read(int proxy) {
    return new Snapshot(0, currentValues(proxy));
  }

  @Override
  public Optional<Message> submit(Edit edit, Snapshot base) {
    List<Long> values = new ArrayList<>(base.values());
    values.set(edit.key(), edit.serial());
    long time = clock.instant().plus(clockErrors.get(edit.proxy())).toEpochMilli();
    Message message = new Message(time, edit.proxy(), edit.key(), values);
    deliver(edit.proxy(), message);
    return Optional.of(message);
  }

  @Override
  public void deliver(int proxy, Message message) {
    List<Message> current = currentMessages.get(proxy);
    for (int key = 0; key < current.size(); key++) {
      boolean included = wholeList || key == message.key();
      if (included && message.isAfter(current.get(key))) {
        current.set(key, message);
      }
    }
  }

  @Override
  public List<Long> currentValues(int proxy) {
    List<Long> values = new ArrayList<>();
    List<Message> current = currentMessages.get(proxy);
    for (int key = 0; key < current.size(); key++) {
      values.add(current.get(key).values().get(key));
    }
    return values;
  }
}
