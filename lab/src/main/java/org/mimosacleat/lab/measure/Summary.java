package org.mimosacleat.lab.measure;

/**
 * One figure summarized over all seeds.
 *
 * @param experiment the name of the experiment
 * @param deployment the name of the deployment
 * @param median the reading with the median value
 * @param lowest the lowest value over all seeds
 * @param highest the highest value over all seeds
 */
public record Summary(
    String experiment, String deployment, Reading median, double lowest, double highest) {}
