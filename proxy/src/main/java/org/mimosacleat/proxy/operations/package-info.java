/** Status and metrics over HTTP for operators. */
package org.mimosacleat.proxy.operations;
