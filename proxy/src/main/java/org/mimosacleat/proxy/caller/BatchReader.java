package org.mimosacleat.proxy.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrontendType;

/** Reads batches from a client; the sum of a batch's frames is limited too. */
final class BatchReader {
  private final FrameReader reader;
  private final int maximumBatchBytes;

  BatchReader(FrameReader reader, int maximumBatchBytes) {
    this.reader = reader;
    this.maximumBatchBytes = maximumBatchBytes;
  }

  /** Waits for the first frame of a batch; empty if the client says goodbye. */
  Optional<Frame> readFirst() throws IOException {
    Frame first = reader.read();
    return first.is(FrontendType.TERMINATE) ? Optional.empty() : Optional.of(first);
  }

  /** Reads the rest of the batch that {@code first} begins. */
  Batch readRest(Frame first) throws IOException {
    List<Frame> frames = new ArrayList<>();
    long size = 0;
    Frame frame = first;
    while (true) {
      size += frame.size();
      if (size > maximumBatchBytes) {
        throw new FrameException("batch: over the limit of " + maximumBatchBytes + " bytes");
      }
      check(frame, frames.isEmpty());
      frames.add(frame);
      if (frame.is(FrontendType.QUERY) || frame.is(FrontendType.SYNC)) {
        return new Batch(frames);
      }
      frame = reader.read();
    }
  }

  private static void check(Frame frame, boolean isFirst) throws FrameException {
    boolean known =
        switch (frame.type()) {
          case FrontendType.QUERY -> isFirst;
          case FrontendType.PARSE,
              FrontendType.BIND,
              FrontendType.DESCRIBE,
              FrontendType.EXECUTE,
              FrontendType.CLOSE,
              FrontendType.SYNC,
              FrontendType.FLUSH,
              FrontendType.FUNCTION_CALL ->
              true;
          default -> false;
        };
    if (!known) {
      throw new FrameException("frame of type '" + (char) frame.type() + "' is out of place");
    }
  }
}
