package org.mimosacleat.proxy.client;

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

/** The prepared statements of a session, and the subset that its pinned connection has. */
final class PreparedStatements {
  /** Maximum number of prepared statements of a session. */
  static final int MAXIMUM_COUNT = 4_096;

  private final Map<String, Frame> definitions = new HashMap<>();
  private final Set<String> onConnection = new HashSet<>();

  Optional<Frame> definition(String name) {
    return Optional.ofNullable(definitions.get(name));
  }

  /** Returns whether the pinned connection has the statement. */
  boolean isOnConnection(String name) {
    return onConnection.contains(name);
  }

  boolean hasRoomFor(BatchPlan plan) {
    return definitions.size() + plan.parsed().size() <= MAXIMUM_COUNT;
  }

  /** Records the statements that a successful batch prepared and closed. */
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
        .forEach(this::recordInjected);
    plan.closed().forEach(onConnection::remove);
  }

  /**
   * Records the statements that a failed batch prepared before its error; clients keep using
   * statements for which they received ParseComplete.
   *
   * @param completed the number of parse frames of the batch that were completed
   */
  void applyCompleted(Batch batch, int completed) throws FrameException {
    List<Frame> parsed =
        batch.frames().stream()
            .filter(frame -> frame.hasType(FrontendType.PARSE))
            .limit(completed)
            .toList();
    for (Frame frame : parsed) {
      String name = new BodyReader(frame).readString();
      definitions.put(name, frame);
      onConnection.remove(name);
    }
  }

  private void recordInjected(Frame definition) {
    definitions.forEach(
        (name, frame) -> {
          if (frame == definition) {
            onConnection.add(name);
          }
        });
  }

  /** Records that the session has no pinned connection, after it was lost or returned. */
  void clearConnection() {
    onConnection.clear();
  }
}
