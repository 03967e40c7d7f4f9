/**
 * Experiments on the decisions about load: scheduling, admission, allowances and connections. They
 * drive the real decisions by a small seeded event queue, beside their baselines.
 */
package org.mimosacleat.lab.measure.load;
