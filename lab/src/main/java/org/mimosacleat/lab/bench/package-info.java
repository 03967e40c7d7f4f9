/**
 * Measurements of the proxy's own cost on loopback: a proxy and the endpoint behind it are driven
 * side by side in one run, and idle connections are weighed in resident memory.
 */
package org.mimosacleat.lab.bench;
