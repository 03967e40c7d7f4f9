/**
 * In-memory database instances that implement the server side of the PostgreSQL protocol, store
 * small tables and replicate them asynchronously. The entry point is {@link
 * org.mimosacleat.standin.endpoint.GroupStandin}.
 */
package org.mimosacleat.standin.endpoint;
