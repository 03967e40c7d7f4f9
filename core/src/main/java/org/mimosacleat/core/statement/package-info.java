/** Classification of SQL statements for routing. */
package org.mimosacleat.core.statement;
