/** Socket options that all connections of a proxy share. */
package org.mimosacleat.serving.network;
