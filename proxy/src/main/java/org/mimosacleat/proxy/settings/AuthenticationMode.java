package org.mimosacleat.proxy.settings;

/** How callers prove who they are. */
public enum AuthenticationMode {
  /** With SCRAM-SHA-256 against the verifier of their customer. */
  SCRAM,
  /** Not at all: the user name is believed. For tests and demonstrations. */
  TRUST
}
