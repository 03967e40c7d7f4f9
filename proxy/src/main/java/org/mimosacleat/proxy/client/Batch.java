package org.mimosacleat.proxy.client;

import java.util.List;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrontendType;

/**
 * The frames that a client sends before it waits for an answer: one simple query, or frames of the
 * extended protocol up to and including a sync.
 *
 * @param frames the frames, at least one
 */
record Batch(List<Frame> frames) {
  Batch {
    frames = List.copyOf(frames);
  }

  boolean isSimple() {
    return frames.getLast().hasType(FrontendType.QUERY);
  }
}
