package org.mimosacleat.proxy.client;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.statement.StatementClassifier;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.wire.postgres.BodyBuilder;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrontendType;

/**
 * Extracts the information needed to run a batch. Prepared statements belong to the session, but
 * its batches run on different pooled connections. The statements that a batch uses are therefore
 * prepared again before it, unless the session has a pinned connection that already has them.
 */
final class BatchPlanner {
  private static final byte STATEMENT = 'S';
  private static final String UNNAMED = "";

  private final PreparedStatements prepared;
  private final List<StatementKind> kinds = new ArrayList<>();
  private final List<String> texts = new ArrayList<>();
  private final Map<String, Frame> parsed = new LinkedHashMap<>();
  private final List<String> closed = new ArrayList<>();
  private final Set<String> used = new LinkedHashSet<>();
  private Optional<Failure> refusal = Optional.empty();

  private BatchPlanner(PreparedStatements prepared) {
    this.prepared = prepared;
  }

  /**
   * Creates the plan of a batch.
   *
   * @throws FrameException if a frame's body is malformed
   */
  static BatchPlan plan(Batch batch, PreparedStatements prepared) throws FrameException {
    BatchPlanner planner = new BatchPlanner(prepared);
    for (Frame frame : batch.frames()) {
      planner.read(frame);
    }
    return new BatchPlan(
        batch,
        StatementClassifier.combine(planner.kinds),
        planner.texts,
        planner.parsed,
        planner.closed,
        planner.injected(),
        planner.refusal);
  }

  private void read(Frame frame) throws FrameException {
    BodyReader body = new BodyReader(frame);
    switch (frame.type()) {
      case FrontendType.QUERY -> addText(body.readString());
      case FrontendType.PARSE -> {
        parsed.put(body.readString(), frame);
        addText(body.readString());
      }
      case FrontendType.BIND -> {
        body.readString();
        use(body.readString());
      }
      case FrontendType.DESCRIBE -> {
        if (body.readByte() == STATEMENT) {
          use(body.readString());
        }
      }
      case FrontendType.CLOSE -> {
        if (body.readByte() == STATEMENT) {
          closed.add(body.readString());
        }
      }
      case FrontendType.FLUSH ->
          refuse(ErrorKind.NOT_SUPPORTED, "flush is not supported; end the batch with a sync");
      case FrontendType.FUNCTION_CALL ->
          refuse(ErrorKind.NOT_SUPPORTED, "function calls are not supported");
      default -> {
        // Execute and sync carry no statement text or name.
      }
    }
  }

  private void addText(String text) {
    texts.add(text);
    kinds.add(StatementClassifier.classify(text));
  }

  private void use(String name) throws FrameException {
    if (parsed.containsKey(name)) {
      return;
    }
    Optional<Frame> known = prepared.definition(name);
    if (known.isEmpty()) {
      // Not left to the endpoint: the pooled connection may have a statement of this name from
      // another session.
      refuse(ErrorKind.UNKNOWN_STATEMENT, "prepared statement \"" + name + "\" does not exist");
      return;
    }
    if (used.add(name)) {
      BodyReader body = new BodyReader(known.get());
      body.readString();
      addText(body.readString());
    }
  }

  private void refuse(ErrorKind kind, String reason) {
    if (refusal.isEmpty()) {
      refusal = Optional.of(new Failure(kind, reason));
    }
  }

  private List<Frame> injected() {
    List<Frame> frames = new ArrayList<>();
    for (String name : parsed.keySet()) {
      addClose(frames, name);
    }
    for (String name : used) {
      if (!prepared.isOnConnection(name)) {
        addClose(frames, name);
        frames.add(prepared.definition(name).orElseThrow());
      }
    }
    return frames;
  }

  private static void addClose(List<Frame> frames, String name) {
    if (!name.equals(UNNAMED)) {
      frames.add(new BodyBuilder().int8(STATEMENT).string(name).frame(FrontendType.CLOSE));
    }
  }
}
