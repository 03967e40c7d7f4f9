/** What a statement is, as far as routing needs to know. */
package org.mimosacleat.core.statement;
