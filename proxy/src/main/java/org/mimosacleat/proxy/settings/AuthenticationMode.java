package org.mimosacleat.proxy.settings;

/** How clients are authenticated. */
public enum AuthenticationMode {
  /** SCRAM-SHA-256 against the verifier of the client's customer. */
  SCRAM,
  /** No authentication: the user name is trusted. For tests and demonstrations only. */
  TRUST
}
