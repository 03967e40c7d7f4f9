/** Read-your-writes consistency: the log position that the reads of a session must see. */
package org.mimosacleat.core.session;
