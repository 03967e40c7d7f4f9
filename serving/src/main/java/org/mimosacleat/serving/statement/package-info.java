/** Decoded statements of clients, and the answers to them. */
package org.mimosacleat.serving.statement;
