/** The platform's table service: typed rows with conditional writes and transactions. */
package org.mimosacleat.store.table;
