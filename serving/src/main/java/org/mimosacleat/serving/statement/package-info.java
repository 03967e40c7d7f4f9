/** What clients ask for, decoded. */
package org.mimosacleat.serving.statement;
