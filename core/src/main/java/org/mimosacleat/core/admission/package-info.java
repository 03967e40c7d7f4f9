/**
 * What each customer may use: guaranteed shares and ceilings from its plan, weighted fair queueing
 * between customers, and the division of one customer's allowance over several homes.
 */
package org.mimosacleat.core.admission;
