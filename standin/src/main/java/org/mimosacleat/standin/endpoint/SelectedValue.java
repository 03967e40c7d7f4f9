package org.mimosacleat.standin.endpoint;

/** One value of a SELECT without a table, with the name of its result column. */
record SelectedValue(String label, Operand value) {}
