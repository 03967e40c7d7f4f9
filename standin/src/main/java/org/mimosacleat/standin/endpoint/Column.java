package org.mimosacleat.standin.endpoint;

/**
 * One column of a table or of a result.
 *
 * @param name the name
 * @param type the type
 */
record Column(String name, ColumnType type) {}
