/** Write ids and request pacing, shared by the table service and the object store. */
package org.mimosacleat.store.pacing;
