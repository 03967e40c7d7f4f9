/**
 * A stand-in for database instances: it speaks the server side of the PostgreSQL protocol, keeps
 * small tables in memory and replicates them asynchronously. Start with {@link
 * org.mimosacleat.standin.endpoint.GroupStandin}.
 */
package org.mimosacleat.standin.endpoint;
