/**
 * The workloads of both deployments through the stock driver, checked against an oracle that
 * remembers what was acknowledged and what was refused.
 */
package org.mimosacleat.lab.workload;
