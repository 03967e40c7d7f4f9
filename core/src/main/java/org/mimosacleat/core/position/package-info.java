/** Terms and log positions, by which writes are ordered in a database group. */
package org.mimosacleat.core.position;
