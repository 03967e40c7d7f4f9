package org.mimosacleat.proxy.caller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrontendType;

/** The prepared statements of a session, and which of them its pinned connection has. */
final class PreparedStatements {
  /** The most statements that a session may have prepared at a time. */
  static final int MAXIMUM_COUNT = 4_096;

  private final Map<String, Frame> definitions = new HashMap<>();
  private final Set<String> onConnection = new HashSet<>();

  Optional<Frame> definition(String name) {
    return Optional.ofNullable(definitions.get(name));
  }

  /** Tells whether the pinned connection has the statement. */
  boolean isOnConnection(String name) {
    return onConnection.contains(name);
  }

  boolean hasRoomFor(BatchPlan plan) {
    return definitions.size() + plan.parsed().size() <= MAXIMUM_COUNT;
  }

  /** Takes over what an answered batch has prepared and closed. */
  void apply(BatchPlan plan, boolean pinned) {
    definitions.putAll(plan.parsed());
    plan.closed().forEach(definitions::remove);
    if (!pinned) {
      onConnection.clear();
      return;
    }
    onConnection.addAll(plan.parsed().keySet());
    plan.injected().stream()
        .filter(frame -> definitions.containsValue(frame))
        .forEach(this::rememberInjected);
    plan.closed().forEach(onConnection::remove);
  }

  /**
   * Takes over the first statements that a batch has prepared before another part of it failed: a
   * client goes on using what was completed.
   *
   * @param completed how many of the batch's parse frames were completed
   */
  void applyFirst(Batch batch, int completed) throws FrameException {
    List<Frame> parsed =
        batch.frames().stream()
            .filter(frame -> frame.is(FrontendType.PARSE))
            .limit(completed)
            .toList();
    for (Frame frame : parsed) {
      String name = new BodyReader(frame).readString();
      definitions.put(name, frame);
      onConnection.remove(name);
    }
  }

  private void rememberInjected(Frame definition) {
    definitions.forEach(
        (name, frame) -> {
          if (frame == definition) {
            onConnection.add(name);
          }
        });
  }

  /** Forgets what the pinned connection had, after it was lost or handed back. */
  void connectionGone() {
    onConnection.clear();
  }
}
