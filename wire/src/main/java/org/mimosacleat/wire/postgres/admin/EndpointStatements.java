package org.mimosacleat.wire.postgres.admin;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.position.Term;

/**
 * The administrative SQL statements that proxies send and stand-ins interpret. Both sides use these
 * constants, so that they always agree.
 */
public final class EndpointStatements {
  /** The setting that holds the lowest term that an endpoint still serves. */
  public static final String FENCE_TERM_SETTING = "mimosacleat.fence_term";

  /**
   * The setting that holds the highest fencing token of a home that an endpoint has accepted. It
   * never decreases. A startup packet carries the token of its connection under the same name. When
   * the setting is raised, the endpoint closes the connections that were opened under a lower token
   * and rejects new ones under a lower token.
   */
  public static final String HOME_TOKEN_SETTING = "mimosacleat.home_token";

  /** The setting that holds the previous value of {@link #HOME_TOKEN_SETTING}. */
  public static final String PREVIOUS_HOME_TOKEN_SETTING = "mimosacleat.previous_home_token";

  /** Queries the highest accepted fencing token and the previous one. */
  public static final String HOME_TOKENS =
      "SELECT current_setting('mimosacleat.home_token', true),"
          + " current_setting('mimosacleat.previous_home_token', true)";

  /** The setting that names the endpoint a replica replicates from; empty stops replication. */
  public static final String PRIMARY_SETTING = "primary_conninfo";

  /** The setting that makes an endpoint reject writes. */
  public static final String READ_ONLY_SETTING = "default_transaction_read_only";

  /**
   * Queries the state in one round trip. The columns, all in text format: whether the endpoint is a
   * replica ({@code t} or {@code f}), the received log position, the replayed log position, the
   * timeline of the replayed position, and the fence term (null or empty if never set).
   */
  public static final String STATUS =
      "SELECT pg_is_in_recovery(),"
          + " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()"
          + " ELSE pg_current_wal_lsn() END,"
          + " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
          + " ELSE pg_current_wal_lsn() END,"
          + " (SELECT timeline_id FROM pg_control_checkpoint()),"
          + " current_setting('mimosacleat.fence_term', true)";

  /** Queries the log position of a primary's last write. */
  public static final String CURRENT_POSITION = "SELECT pg_current_wal_lsn()";

  /** Queries the timeline. */
  public static final String TIMELINE = "SELECT timeline_id FROM pg_control_checkpoint()";

  /** Promotes a replica to primary on the next timeline. */
  public static final String PROMOTE = "SELECT pg_promote()";

  /** Applies changed settings. */
  public static final String RELOAD = "SELECT pg_reload_conf()";

  /** Stops replication on a replica; takes effect with {@link #RELOAD}. */
  public static final String STOP_REPLICATION = "ALTER SYSTEM SET primary_conninfo = ''";

  private EndpointStatements() {}

  /** Makes an endpoint a replica of {@code host:port}; takes effect with {@link #RELOAD}. */
  public static String replicateFrom(String host, int port) {
    Checks.name("host", host);
    Checks.positive("port", port);
    if (host.indexOf('\'') >= 0 || host.indexOf(' ') >= 0) {
      throw new IllegalArgumentException(
          "host must not contain a quote or a space, but was " + host);
    }
    return "ALTER SYSTEM SET primary_conninfo = 'host=" + host + " port=" + port + "'";
  }

  /** Makes an endpoint reject terms before {@code term}; takes effect immediately. */
  public static String setFenceTerm(Term term) {
    return "ALTER SYSTEM SET mimosacleat.fence_term = '" + term.number() + "'";
  }

  /**
   * Makes an endpoint reject homes with lower tokens. Takes effect immediately; the endpoint
   * rejects the statement if {@code token} is lower than the accepted one.
   */
  public static String setHomeToken(FencingToken token) {
    return "ALTER SYSTEM SET mimosacleat.home_token = '" + token.number() + "'";
  }

  /** Makes an endpoint reject or accept writes; takes effect immediately. */
  public static String setReadOnly(boolean on) {
    return "ALTER SYSTEM SET default_transaction_read_only = " + (on ? "on" : "off");
  }
}
