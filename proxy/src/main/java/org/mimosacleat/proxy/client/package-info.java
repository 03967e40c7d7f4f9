/** Client connections: login, reading batches and answering them. */
package org.mimosacleat.proxy.client;
