/** Interfaces and adapters of the platform's table service, object store and VM list. */
package org.mimosacleat.store;
