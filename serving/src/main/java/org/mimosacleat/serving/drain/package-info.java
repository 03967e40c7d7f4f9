/** Graceful shutdown: no new clients, open requests finish, sessions close between requests. */
package org.mimosacleat.serving.drain;
