/** Sessions of clients: their values, prepared statements, transactions and positions. */
package org.mimosacleat.serving.session;
