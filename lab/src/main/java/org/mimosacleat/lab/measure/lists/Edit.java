package org.mimosacleat.lab.measure.lists;

/**
 * One change of one key by one operator.
 *
 * @param serial the unique value that it sets, over zero
 * @param key the key that it sets
 * @param proxy the proxy that the operator talks to
 */
record Edit(long serial, int key, int proxy) {}
