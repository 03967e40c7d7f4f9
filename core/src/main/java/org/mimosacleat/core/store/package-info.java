/** When a process may send a request to the platform's store: rate limit and backoff. */
package org.mimosacleat.core.store;
