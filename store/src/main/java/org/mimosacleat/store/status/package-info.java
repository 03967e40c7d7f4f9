/** The status of a proxy as JSON. */
package org.mimosacleat.store.status;
