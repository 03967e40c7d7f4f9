/**
 * Management of the limited endpoint connections: how many a home may open, when it opens them, and
 * when a returned connection may be used again.
 */
package org.mimosacleat.core.connection;
