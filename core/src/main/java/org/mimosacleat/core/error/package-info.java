/** The closed list of error kinds, and the table from a kind to the answer a caller gets. */
package org.mimosacleat.core.error;
