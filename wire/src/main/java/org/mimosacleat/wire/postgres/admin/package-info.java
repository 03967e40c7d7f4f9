/** The administrative statements that proxies send to endpoints. */
package org.mimosacleat.wire.postgres.admin;
