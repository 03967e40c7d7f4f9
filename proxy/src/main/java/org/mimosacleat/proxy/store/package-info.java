/** The rows that homes keep in the platform's table service, as typed records. */
package org.mimosacleat.proxy.store;
