/**
 * Serves sessions on direct connections from every proxy to every endpoint: sessions, pooled links,
 * routing by log position, and the picture of the fleet that they use. It speaks no protocol of its
 * own; callers, endpoints and shared records come in through interfaces.
 */
package org.mimosacleat.serving;
