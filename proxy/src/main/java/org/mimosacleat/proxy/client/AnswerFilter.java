package org.mimosacleat.proxy.client;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.mimosacleat.wire.postgres.BackendType;

/** Removes the replies to injected frames from an endpoint's reply to a batch. */
final class AnswerFilter {
  private AnswerFilter() {}

  /**
   * Removes the first {@code injected} ParseComplete and CloseComplete frames from {@code frames}.
   * If an injected frame failed, its error response stays.
   */
  static byte[] withoutInjected(byte[] frames, int injected) {
    int start = 0;
    for (int removed = 0; removed < injected; removed++) {
      byte type = frames[start];
      if (type != BackendType.PARSE_COMPLETE && type != BackendType.CLOSE_COMPLETE) {
        break;
      }
      start += ByteBuffer.wrap(frames, start + 1, Integer.BYTES).getInt() + 1;
    }
    return start == 0 ? frames : Arrays.copyOfRange(frames, start, frames.length);
  }

  /** Returns the number of ParseComplete frames in the reply to a batch. */
  static int countParsed(byte[] frames) {
    int completed = 0;
    int start = 0;
    while (start < frames.length) {
      if (frames[start] == BackendType.PARSE_COMPLETE) {
        completed++;
      }
      start += ByteBuffer.wrap(frames, start + 1, Integer.BYTES).getInt() + 1;
    }
    return completed;
  }
}
