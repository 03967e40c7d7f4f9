/** Measures the gap in service when a primary is lost, and the cost of a safe acknowledgement. */
package org.mimosacleat.lab.measure.failover;
