/**
 * Failover: agreement on the primary of each group through shared records, and its replacement. A
 * primary that may still run is replaced only after it has been fenced, or after every proxy that
 * could use it has stopped using it.
 */
package org.mimosacleat.serving.promotion;
