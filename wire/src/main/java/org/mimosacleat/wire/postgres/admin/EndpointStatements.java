package org.mimosacleat.wire.postgres.admin;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.position.Term;

/**
 * The texts of the administrative statements that proxies send and stand-ins answer. Both sides use
 * these constants, so that they cannot drift apart.
 */
public final class EndpointStatements {
  /** The setting that holds the lowest term an endpoint still serves. */
  public static final String FENCE_TERM_SETTING = "mimosacleat.fence_term";

  /**
   * The setting that holds the highest fencing token of a home that an endpoint has accepted. It
   * never goes down. Raising it ends the connections that were opened under a lower token, which
   * their startup packet carries under this name; the endpoint accepts no further ones.
   */
  public static final String HOME_TOKEN_SETTING = "mimosacleat.home_token";

  /** The setting that holds the token that was the highest before. */
  public static final String PREVIOUS_HOME_TOKEN_SETTING = "mimosacleat.previous_home_token";

  /** Asks for the highest fencing token and the one before it. */
  public static final String HOME_TOKENS =
      "SELECT current_setting('mimosacleat.home_token', true),"
          + " current_setting('mimosacleat.previous_home_token', true)";

  /** The setting that names the endpoint a replica receives from; empty to receive from none. */
  public static final String PRIMARY_SETTING = "primary_conninfo";

  /** The setting that makes an endpoint refuse writes. */
  public static final String READ_ONLY_SETTING = "default_transaction_read_only";

  /**
   * Asks for the state in one round trip. The columns, all readable as text: whether the endpoint
   * is a replica ({@code t} or {@code f}), the received log position, the replayed log position,
   * the timeline of the replayed position, and the fence term (null or empty if never set).
   */
  public static final String STATUS =
      "SELECT pg_is_in_recovery(),"
          + " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()"
          + " ELSE pg_current_wal_lsn() END,"
          + " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
          + " ELSE pg_current_wal_lsn() END,"
          + " (SELECT timeline_id FROM pg_control_checkpoint()),"
          + " current_setting('mimosacleat.fence_term', true)";

  /** Asks a primary for the position of its last write. */
  public static final String CURRENT_POSITION = "SELECT pg_current_wal_lsn()";

  /** Asks for the timeline. */
  public static final String TIMELINE = "SELECT timeline_id FROM pg_control_checkpoint()";

  /** Makes a replica the primary of the next timeline. */
  public static final String PROMOTE = "SELECT pg_promote()";

  /** Puts changed settings in force. */
  public static final String RELOAD = "SELECT pg_reload_conf()";

  /** Makes a replica stop receiving, once {@link #RELOAD} follows. */
  public static final String STOP_RECEIVING = "ALTER SYSTEM SET primary_conninfo = ''";

  private EndpointStatements() {}

  /** Makes an endpoint a replica of {@code host:port}, once {@link #RELOAD} follows. */
  public static String receiveFrom(String host, int port) {
    Checks.name("host", host);
    Checks.positive("port", port);
    if (host.indexOf('\'') >= 0 || host.indexOf(' ') >= 0) {
      throw new IllegalArgumentException("host must have no quote and no blank, but was " + host);
    }
    return "ALTER SYSTEM SET primary_conninfo = 'host=" + host + " port=" + port + "'";
  }

  /** Makes an endpoint refuse terms before {@code term}; in force at once. */
  public static String fence(Term term) {
    return "ALTER SYSTEM SET mimosacleat.fence_term = '" + term.number() + "'";
  }

  /** Makes an endpoint refuse homes with lower tokens; in force at once, refused if lower. */
  public static String homeToken(FencingToken token) {
    return "ALTER SYSTEM SET mimosacleat.home_token = '" + token.number() + "'";
  }

  /** Makes an endpoint refuse or accept writes; in force at once. */
  public static String readOnly(boolean on) {
    return "ALTER SYSTEM SET default_transaction_read_only = " + (on ? "on" : "off");
  }
}
