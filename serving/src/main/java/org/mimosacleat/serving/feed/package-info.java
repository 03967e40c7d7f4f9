/**
 * Feeds of changes in the shared store. In each zone one proxy reads the feeds and passes the
 * changes on, so that the number of calls to the store does not grow with the number of proxies. A
 * proxy that receives none in time reads the store itself, and follows a proxy of another zone if
 * the store does not answer. Each proxy keeps the proof of how recent its configuration is.
 */
package org.mimosacleat.serving.feed;
