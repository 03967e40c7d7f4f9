/**
 * Stand-ins for the platform: in-memory fakes of its services, and HTTP servers that expose them.
 */
package org.mimosacleat.standin.platform;
