/** Measures the share of reads that replicas serve, and whether any of those reads is stale. */
package org.mimosacleat.lab.measure.consistency;
