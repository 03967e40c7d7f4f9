/**
 * Workloads of both deployments that use the PostgreSQL JDBC driver. Their results are checked
 * against an oracle, which records the outcome that the client received for each write.
 */
package org.mimosacleat.lab.workload;
