/**
 * A whole deployment on this machine: stand-ins and real proxies, for demonstrations and proofs.
 */
package org.mimosacleat.lab.demo;
