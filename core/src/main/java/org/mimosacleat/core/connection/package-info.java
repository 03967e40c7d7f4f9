/**
 * The scarce endpoint connections: how many a home may open, when it opens them, and when one may
 * be used again.
 */
package org.mimosacleat.core.connection;
