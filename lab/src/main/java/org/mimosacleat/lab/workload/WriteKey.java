package org.mimosacleat.lab.workload;

/** Identifies a write by its id within a table of a database. */
record WriteKey(String database, String table, String id) {}
