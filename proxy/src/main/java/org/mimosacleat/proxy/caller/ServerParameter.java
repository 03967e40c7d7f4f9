package org.mimosacleat.proxy.caller;

/**
 * A setting that is reported to clients when they connect.
 *
 * @param name its name
 * @param value its value
 */
record ServerParameter(String name, String value) {}
