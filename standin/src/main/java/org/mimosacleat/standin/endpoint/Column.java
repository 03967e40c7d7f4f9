package org.mimosacleat.standin.endpoint;

/** One column of a table or of a result. */
record Column(String name, ColumnType type) {}
