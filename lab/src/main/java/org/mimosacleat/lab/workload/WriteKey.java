package org.mimosacleat.lab.workload;

/** Names one write: its id within a table of a database. */
record WriteKey(String database, String table, String id) {}
