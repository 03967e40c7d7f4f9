/**
 * Connections between proxies: links to the homes of other groups, and the door for their requests.
 */
package org.mimosacleat.proxy.peer;
