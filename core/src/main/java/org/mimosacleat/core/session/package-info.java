/** Read-your-writes: which position of the log a session has to see. */
package org.mimosacleat.core.session;
