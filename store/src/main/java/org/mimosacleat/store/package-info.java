/** The platform's table service, object store and list of VMs: interfaces and adapters. */
package org.mimosacleat.store;
