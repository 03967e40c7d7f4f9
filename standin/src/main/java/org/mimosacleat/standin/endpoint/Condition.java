package org.mimosacleat.standin.endpoint;

/** Selects the rows in which a column equals a value. */
record Condition(String column, Operand value) {}
