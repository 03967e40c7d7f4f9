package org.mimosacleat.proxy.client;

import java.util.List;

/** The server parameters that drivers expect at login. */
final class ServerParameters {
  static final List<ServerParameter> ALL =
      List.of(
          new ServerParameter("server_version", "16.0"),
          new ServerParameter("server_encoding", "UTF8"),
          new ServerParameter("client_encoding", "UTF8"),
          new ServerParameter("DateStyle", "ISO, MDY"),
          new ServerParameter("TimeZone", "UTC"),
          new ServerParameter("integer_datetimes", "on"),
          new ServerParameter("standard_conforming_strings", "on"));

  private ServerParameters() {}
}
