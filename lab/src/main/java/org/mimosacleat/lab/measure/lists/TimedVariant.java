package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.time.PausedClock;

/**
 * Orders edits by the time of the proxy that took them and then by its name; every edit is
 * accepted. A message carries the whole list or one key.
 */
final class TimedVariant implements ListVariant<TimedVariant.Message> {
  private final PausedClock clock;
  private final List<Duration> clockErrors;
  private final boolean wholeList;
  private final List<List<Message>> inForce = new ArrayList<>();

  /**
   * One accepted edit on its way.
   *
   * @param time milliseconds by the clock of the proxy that took it
   * @param source that proxy
   * @param key the key that was edited
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

  TimedVariant(PausedClock clock, List<Duration> clockErrors, int keys, boolean wholeList) {
    this.clock = clock;
    this.clockErrors = clockErrors;
    this.wholeList = wholeList;
    Message none = new Message(Long.MIN_VALUE, 0, 0, Collections.nCopies(keys, 0L));
    for (int proxy = 0; proxy < clockErrors.size(); proxy++) {
      inForce.add(new ArrayList<>(Collections.nCopies(keys, none)));
    }
  }

  @Override
  public Snapshot read(int proxy) {
    return new Snapshot(0, inForce(proxy));
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
    List<Message> present = inForce.get(proxy);
    for (int key = 0; key < present.size(); key++) {
      boolean carried = wholeList || key == message.key();
      if (carried && message.isAfter(present.get(key))) {
        present.set(key, message);
      }
    }
  }

  @Override
  public List<Long> inForce(int proxy) {
    List<Long> values = new ArrayList<>();
    List<Message> present = inForce.get(proxy);
    for (int key = 0; key < present.size(); key++) {
      values.add(present.get(key).values().get(key));
    }
    return values;
  }
}
