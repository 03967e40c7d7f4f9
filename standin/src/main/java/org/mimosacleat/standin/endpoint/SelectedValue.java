package org.mimosacleat.standin.endpoint;

/** One value of a SELECT without a table. */
record SelectedValue(String label, Operand value) {}
