/** The binary {@code mimosacleat}, which runs on every entry VM. */
package org.mimosacleat.proxy;
