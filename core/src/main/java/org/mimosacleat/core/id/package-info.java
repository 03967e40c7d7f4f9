/** Value types for the ids of the system, so that one cannot be passed for another. */
package org.mimosacleat.core.id;
