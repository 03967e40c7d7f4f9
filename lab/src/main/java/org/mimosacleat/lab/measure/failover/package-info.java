/** Measures the outage after the loss of a primary, and the cost of waiting for replicas. */
package org.mimosacleat.lab.measure.failover;
