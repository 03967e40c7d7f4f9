package org.mimosacleat.lab.measure.lists;

/**
 * A change of one key by one operator.
 *
 * @param serial the value that the edit sets; positive and unique per edit
 * @param key the index of the edited key
 * @param proxy the index of the proxy that the operator is connected to
 */
record Edit(long serial, int key, int proxy) {}
