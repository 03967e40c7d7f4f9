package org.mimosacleat.serving.drain;

/** The statements and transactions that this proxy runs for other proxies. */
public interface RelayedWork {
  /** Takes no new work from now on, and tells the other proxies so. */
  void refuseNew();

  /** Returns how many requests and transactions are not finished. */
  int unfinished();
}
