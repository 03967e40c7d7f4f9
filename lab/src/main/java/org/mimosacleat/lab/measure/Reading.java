package org.mimosacleat.lab.measure;

/**
 * One figure measured in one run of an experiment.
 *
 * @param measure what was measured, for example {@code share of reads served by replicas}
 * @param variant the production algorithm or the baseline that was measured
 * @param unit the unit of the value, for example {@code ms} or {@code %}
 * @param value the measured value
 * @param goal the target, or what the value is compared with; empty if there is none
 */
public record Reading(String measure, String variant, String unit, double value, String goal) {}
