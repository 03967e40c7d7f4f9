/**
 * Serves sessions over direct connections from every proxy to every endpoint: sessions, connection
 * pools, routing by log position, and the state of the fleet that they use. It implements no wire
 * protocol; clients, endpoints and shared records are accessed through interfaces.
 */
package org.mimosacleat.serving;
