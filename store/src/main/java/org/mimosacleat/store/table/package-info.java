/**
 * The platform's table service: rows by kind and name, with conditional writes and transactions.
 */
package org.mimosacleat.store.table;
