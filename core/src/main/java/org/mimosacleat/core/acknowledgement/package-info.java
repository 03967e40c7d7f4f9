/** When a write may be acknowledged to its caller: once enough replicas of the term hold it. */
package org.mimosacleat.core.acknowledgement;
