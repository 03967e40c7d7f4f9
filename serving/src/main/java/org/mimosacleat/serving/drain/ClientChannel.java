package org.mimosacleat.serving.drain;

/** One client's connection, as the drain sees it. */
public interface ClientChannel {
  /** Closes the connection if no request and no transaction is open on it. */
  boolean closeIfIdle();

  /** Closes the connection whatever is open on it. */
  void close();
}
