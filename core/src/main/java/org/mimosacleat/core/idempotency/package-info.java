/**
 * Idempotent requests: the request id is recorded in the transaction of its work, so that a retry
 * does not run the work twice.
 */
package org.mimosacleat.core.idempotency;
