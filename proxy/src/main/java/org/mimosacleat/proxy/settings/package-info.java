/** The settings file of a proxy: its schema, and its validated values as typed records. */
package org.mimosacleat.proxy.settings;
