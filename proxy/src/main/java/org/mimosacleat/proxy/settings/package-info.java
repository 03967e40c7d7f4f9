/** The settings file of a proxy: its schema, and the checked values as typed records. */
package org.mimosacleat.proxy.settings;
