package org.mimosacleat.serving.drain;

/** A client connection that a drain can close. */
public interface ClientChannel {
  /** Closes the connection if no request and no transaction is open on it. */
  boolean closeIfIdle();

  /** Closes the connection immediately, even with an open request or transaction. */
  void close();
}
