package org.mimosacleat.lab.measure;

/**
 * One figure of one run of an experiment.
 *
 * @param measure what was measured, for example {@code share of reads served by replicas}
 * @param variant the decision or the baseline that it was measured on
 * @param unit the unit of the value, for example {@code ms} or {@code %}
 * @param value the figure
 * @param goal the stated goal, or what the figure is compared with; empty where there is none
 */
public record Reading(String measure, String variant, String unit, double value, String goal) {}
