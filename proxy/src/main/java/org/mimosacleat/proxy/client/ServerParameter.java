package org.mimosacleat.proxy.client;

/**
 * A server parameter that is reported to clients in a ParameterStatus message at login.
 *
 * @param name the name
 * @param value the value
 */
record ServerParameter(String name, String value) {}
