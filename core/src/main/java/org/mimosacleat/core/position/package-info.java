/** Terms and log positions, which order the writes of a database group. */
package org.mimosacleat.core.position;
