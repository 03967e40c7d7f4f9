/**
 * Limits of teams over all proxies: admission of operations, reports of demand, and the limit
 * coordinator that is named in a row of the store.
 */
package org.mimosacleat.serving.limits;
