package org.mimosacleat.proxy.client;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyBuilder;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.FrontendType;
import org.mimosacleat.wire.postgres.TransactionStatus;

/** Creates answers to batches that the proxy answers without an endpoint. */
final class LocalAnswer {
  private static final byte STATEMENT = 'S';

  private LocalAnswer() {}

  /** Creates the answer to a batch whose only statement succeeded and returns no rows. */
  static List<Frame> success(Batch batch, String tag, TransactionStatus status)
      throws FrameException {
    List<Frame> answer = new ArrayList<>();
    for (Frame frame : batch.frames()) {
      addSuccess(answer, frame, tag);
    }
    answer.add(Frames.readyForQuery(status));
    return answer;
  }

  /** Creates an error answer. */
  static List<Frame> failure(Failure failure, TransactionStatus status) {
    return List.of(Frames.error(failure), Frames.readyForQuery(status));
  }

  private static void addSuccess(List<Frame> answer, Frame frame, String tag)
      throws FrameException {
    switch (frame.type()) {
      case FrontendType.QUERY, FrontendType.EXECUTE -> answer.add(Frames.commandComplete(tag));
      case FrontendType.PARSE -> answer.add(Frames.empty(BackendType.PARSE_COMPLETE));
      case FrontendType.BIND -> answer.add(Frames.empty(BackendType.BIND_COMPLETE));
      case FrontendType.CLOSE -> answer.add(Frames.empty(BackendType.CLOSE_COMPLETE));
      case FrontendType.DESCRIBE -> {
        if (new BodyReader(frame).readByte() == STATEMENT) {
          answer.add(new BodyBuilder().int16(0).frame(BackendType.PARAMETER_DESCRIPTION));
        }
        answer.add(Frames.empty(BackendType.NO_DATA));
      }
      default -> {
        // Sync is answered by ready-for-query only.
      }
    }
  }
}
