/** Access to the rows of groups and leases in the platform's table service, as typed records. */
package org.mimosacleat.proxy.store;
