/** The fleet as known to this proxy: configuration, endpoints and their roles. */
package org.mimosacleat.serving.fleet;
