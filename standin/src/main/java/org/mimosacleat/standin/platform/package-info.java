/** Stand-ins for the platform: fakes in memory, and an HTTP server in front of them. */
package org.mimosacleat.standin.platform;
