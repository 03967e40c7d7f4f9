/**
 * Experiments on scheduling, admission, allowances and connections. They drive the production
 * algorithms and their baselines by a discrete-event simulation with a fixed seed.
 */
package org.mimosacleat.lab.measure.load;
