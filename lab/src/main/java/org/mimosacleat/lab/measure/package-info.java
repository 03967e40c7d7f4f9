/**
 * The experiments of the measure command. Each compares a production algorithm with baselines in
 * the same run.
 */
package org.mimosacleat.lab.measure;
