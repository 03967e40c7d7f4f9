/** The picture of the fleet: configuration, endpoints and primaries, as this proxy knows them. */
package org.mimosacleat.serving.fleet;
