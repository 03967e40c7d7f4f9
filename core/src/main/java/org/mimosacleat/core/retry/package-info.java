/** Retries of failed requests, limited by a retry budget and the deadline of the client. */
package org.mimosacleat.core.retry;
