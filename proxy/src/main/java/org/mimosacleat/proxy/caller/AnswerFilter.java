package org.mimosacleat.proxy.caller;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.mimosacleat.wire.postgres.BackendType;

/** Takes the answers to injected frames out of an endpoint's answer. */
final class AnswerFilter {
  private AnswerFilter() {}

  /**
   * Returns {@code frames} without the first {@code injected} completions of parse and close
   * frames. If an injected frame failed, its error is left in.
   */
  static byte[] withoutInjected(byte[] frames, int injected) {
    int start = 0;
    for (int taken = 0; taken < injected; taken++) {
      byte type = frames[start];
      if (type != BackendType.PARSE_COMPLETE && type != BackendType.CLOSE_COMPLETE) {
        break;
      }
      start += ByteBuffer.wrap(frames, start + 1, Integer.BYTES).getInt() + 1;
    }
    return start == 0 ? frames : Arrays.copyOfRange(frames, start, frames.length);
  }

  /** Returns how many parse frames of a batch were completed. */
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
