/**
 * The decision logic of the proxy. It performs no I/O and starts no threads; clocks and random
 * generators are passed to constructors.
 */
package org.mimosacleat.core;
