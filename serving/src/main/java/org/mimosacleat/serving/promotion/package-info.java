/**
 * Agrees on the primary of each group through shared records, and replaces primaries. A primary
 * that may still run is replaced only once it has been fenced, or once every proxy that could use
 * it has stopped to.
 */
package org.mimosacleat.serving.promotion;
