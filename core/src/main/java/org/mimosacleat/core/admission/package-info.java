/**
 * Admission control: guaranteed shares and limits from each customer's plan, weighted fair queueing
 * between customers, and the division of one customer's allowance among several homes.
 */
package org.mimosacleat.core.admission;
