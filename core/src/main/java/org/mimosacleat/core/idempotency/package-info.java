/** Request ids: recorded in the transaction of their work, so that a repeat runs nothing twice. */
package org.mimosacleat.core.idempotency;
