package org.mimosacleat.lab.fuzz;

/** The destination of a message. */
sealed interface Destination {
  /** The instance of an endpoint. */
  record Instance(FakeInstance instance) implements Destination {}

  /** The table service. */
  record Table() implements Destination {}

  /** Another proxy, by its number. */
  record Proxy(int number) implements Destination {}
}
