package org.mimosacleat.core.error;

/** Whether a caller, or a proxy for it, may send a failed request again. */
public enum RetryAdvice {
  /** Any request may be sent again. */
  ANY,
  /** Only a read, or a write with a request id. */
  IDEMPOTENT_ONLY,
  /** A repeat would fail in the same way. */
  NEVER
}
