/** The immutable picture of a database group that decisions are made on. */
package org.mimosacleat.core.group;
