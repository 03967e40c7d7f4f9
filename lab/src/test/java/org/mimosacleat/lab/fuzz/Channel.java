package org.mimosacleat.lab.fuzz;

/** Where a message goes to. */
sealed interface Channel {
  /** To an endpoint. */
  record ToInstance(FakeInstance instance) implements Channel {}

  /** To the table service. */
  record ToTable() implements Channel {}

  /** To another proxy. */
  record ToProxy(int number) implements Channel {}
}
