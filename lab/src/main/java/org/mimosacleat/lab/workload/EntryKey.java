package org.mimosacleat.lab.workload;

/** Names one write: its id within a table of a database. */
record EntryKey(String database, String table, String id) {}
