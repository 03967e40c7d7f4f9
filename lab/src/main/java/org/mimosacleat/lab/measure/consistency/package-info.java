/** Measures how many reads the replicas serve, and whether any of them is stale. */
package org.mimosacleat.lab.measure.consistency;
