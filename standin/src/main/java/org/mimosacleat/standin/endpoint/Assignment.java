package org.mimosacleat.standin.endpoint;

/** Gives a column a new value. */
record Assignment(String column, Operand value) {}
