/** How a proxy stops: no new clients, open work finished, sessions closed between requests. */
package org.mimosacleat.serving.drain;
