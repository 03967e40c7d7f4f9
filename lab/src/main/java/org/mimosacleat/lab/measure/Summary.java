package org.mimosacleat.lab.measure;

/**
 * One figure over all seeds.
 *
 * @param experiment the experiment
 * @param deployment the deployment
 * @param reading the figure of the median seed
 * @param lowest the lowest of all seeds
 * @param highest the highest of all seeds
 */
public record Summary(
    String experiment, String deployment, Reading reading, double lowest, double highest) {}
