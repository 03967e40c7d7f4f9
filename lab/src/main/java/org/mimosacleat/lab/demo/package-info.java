/** Local deployments of stand-ins and real proxies, for demonstrations and end-to-end tests. */
package org.mimosacleat.lab.demo;
