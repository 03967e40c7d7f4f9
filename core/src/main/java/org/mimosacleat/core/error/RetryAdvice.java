package org.mimosacleat.core.error;

/** Whether a client, or a proxy on its behalf, may retry a failed request. */
public enum RetryAdvice {
  /** Any request may be retried. */
  ANY,
  /** Only a read or a write with a request id may be retried. */
  IDEMPOTENT_ONLY,
  /** A retry would fail in the same way. */
  NEVER
}
