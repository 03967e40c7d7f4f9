/** Error kinds, and what each of them reports to the client. */
package org.mimosacleat.core.error;
