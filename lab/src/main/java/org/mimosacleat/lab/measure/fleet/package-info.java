/**
 * Experiments on the fleet: placement, loss of a home, dissemination of lists, load on the store at
 * the end of an outage, and the costs per node on which the capacity page is based.
 */
package org.mimosacleat.lab.measure.fleet;
