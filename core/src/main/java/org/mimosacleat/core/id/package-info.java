/** Value types for ids, so that the compiler rejects an id of the wrong kind. */
package org.mimosacleat.core.id;
