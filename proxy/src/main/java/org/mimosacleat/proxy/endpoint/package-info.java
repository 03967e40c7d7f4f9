/** Connections to endpoints, with a connection pool for each endpoint. */
package org.mimosacleat.proxy.endpoint;
