/**
 * Measurements of the fleet's decisions: placement, loss of a home, spread of the lists, return of
 * the store, and the slopes behind the capacity page.
 */
package org.mimosacleat.lab.measure.fleet;
