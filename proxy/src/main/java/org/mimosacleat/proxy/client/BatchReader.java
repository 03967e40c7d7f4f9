package org.mimosacleat.proxy.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrontendType;

/** Reads batches from a client and limits the total size of the frames of a batch. */
final class BatchReader {
  private final FrameReader reader;
  private final int maximumBatchBytes;

  BatchReader(FrameReader reader, int maximumBatchBytes) {
    this.reader = reader;
    this.maximumBatchBytes = maximumBatchBytes;
  }

  /** Waits for the first frame of a batch; empty if the client sends a terminate message. */
  Optional<Frame> readFirst() throws IOException {
    Frame first = reader.read();
    return first.hasType(FrontendType.TERMINATE) ? Optional.empty() : Optional.of(first);
  }

  /** Reads the remaining frames of the batch that starts with {@code first}. */
  Batch readRest(Frame first) throws IOException {
    List<Frame> frames = new ArrayList<>();
    long size = 0;
    Frame frame = first;
    while (true) {
      size += frame.size();
      if (size > maximumBatchBytes) {
        throw new FrameException(
            "batch is larger than the limit of " + maximumBatchBytes + " bytes");
      }
      checkType(frame, frames.isEmpty());
      frames.add(frame);
      if (frame.hasType(FrontendType.QUERY) || frame.hasType(FrontendType.SYNC)) {
        return new Batch(frames);
      }
      frame = reader.read();
    }
  }

  private static void checkType(Frame frame, boolean isFirst) throws FrameException {
    boolean isExpected =
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
    if (!isExpected) {
      throw new FrameException("unexpected frame of type '" + (char) frame.type() + "' in a batch");
    }
  }
}
