package org.mimosacleat.standin.endpoint;

/** A {@code column = value} pair of the SET clause of an UPDATE. */
record Assignment(String column, Operand value) {}
