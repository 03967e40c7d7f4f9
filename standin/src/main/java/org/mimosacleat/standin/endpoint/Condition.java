package org.mimosacleat.standin.endpoint;

/** Chooses rows by the value of a column. */
record Condition(String column, Operand value) {}
