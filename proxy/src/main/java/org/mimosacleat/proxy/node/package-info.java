/** One proxy: all its parts put together, started and stopped in order. */
package org.mimosacleat.proxy.node;
