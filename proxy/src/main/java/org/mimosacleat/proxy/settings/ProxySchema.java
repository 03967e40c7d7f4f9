package org.mimosacleat.proxy.settings;

import static org.mimosacleat.core.settings.Setting.required;
import static org.mimosacleat.core.settings.Setting.withDefault;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.core.settings.ChoiceType;
import org.mimosacleat.core.settings.DurationType;
import org.mimosacleat.core.settings.Secret;
import org.mimosacleat.core.settings.SecretType;
import org.mimosacleat.core.settings.SectionForm;
import org.mimosacleat.core.settings.SectionSchema;
import org.mimosacleat.core.settings.Setting;
import org.mimosacleat.core.settings.SettingsSchema;
import org.mimosacleat.core.settings.TextType;
import org.mimosacleat.core.settings.WholeNumberType;
import org.mimosacleat.store.aws.PlatformSettings;
import org.mimosacleat.wire.peer.PeerAuthenticator;

/** The sections and keys of a proxy's settings file. */
public final class ProxySchema {
  static final Setting<String> NODE_ID =
      required("id", new TextType(), "The name of this VM, unique in the fleet.");
  static final Setting<String> NODE_ZONE =
      required("zone", new TextType(), "The availability zone of this VM.");
  static final Setting<InetSocketAddress> NODE_ADDRESS =
      required("address", new AddressType(), "The address that other proxies connect to.");

  static final Setting<InetSocketAddress> CLIENT_LISTEN_ADDRESS =
      withDefault(
          "callers", new AddressType(), "0.0.0.0:5432", "The address that clients connect to.");
  static final Setting<InetSocketAddress> PEER_LISTEN_ADDRESS =
      withDefault(
          "peers", new AddressType(), "0.0.0.0:7432", "The address that other proxies connect to.");
  static final Setting<InetSocketAddress> OPERATIONS_LISTEN_ADDRESS =
      withDefault(
          "operations",
          new AddressType(),
          "127.0.0.1:9432",
          "The address for status and metrics over HTTP.");

  static final Setting<Secret> PEER_KEY =
      required(
          "key",
          new SecretType(PeerAuthenticator.MIN_KEY_CHARACTERS),
          "The key that all proxies of the fleet share.");

  static final Setting<AuthenticationMode> AUTHENTICATION_MODE =
      withDefault(
          "mode",
          new ChoiceType<>(AuthenticationMode.class),
          "scram",
          "How clients are authenticated.");

  static final Setting<Long> FRAME_BYTES =
      withDefault(
          "frame-bytes",
          new WholeNumberType(1_024, 1L << 30, "bytes"),
          "16777216",
          "The largest frame or batch of a client.");
  static final Setting<Long> ANSWER_BYTES =
      withDefault(
          "answer-bytes",
          new WholeNumberType(1_024, 1L << 30, "bytes"),
          "67108864",
          "The largest answer that the proxy relays.");
  static final Setting<Duration> AUTHENTICATION_TIMEOUT =
      duration("authentication-timeout", "10s", "How long a client may take to authenticate.");
  static final Setting<Duration> REQUEST_TIMEOUT =
      duration("request-timeout", "30s", "How long a batch may take in total.");
  static final Setting<Duration> IDLE_TRANSACTION_TIMEOUT =
      duration(
          "idle-transaction-timeout",
          "60s",
          "How long a transaction may stay open without a statement.");
  static final Setting<Duration> SHUTDOWN_TIMEOUT =
      duration("shutdown-timeout", "30s", "How long a graceful stop waits for work in flight.");

  static final Setting<Duration> MONITOR_INTERVAL =
      duration(
          "interval",
          "20ms",
          "Time between two polls of an endpoint while no write waits for confirmation.");
  static final Setting<Duration> MONITOR_TIMEOUT =
      duration("timeout", "150ms", "Time after which a poll of an endpoint counts as failed.");
  static final Setting<Duration> CONFIRMATION_TIMEOUT =
      duration(
          "confirmation-timeout", "10s", "How long a write waits for a replica to confirm it.");

  static final Setting<String> PEER_ZONE =
      required("zone", new TextType(), "The availability zone of that VM.");
  static final Setting<InetSocketAddress> PEER_ADDRESS =
      required(
          "address", new AddressType(), "The address that other proxies connect to on that VM.");

  static final Setting<String> GROUP_USER =
      withDefault("user", new TextType(), "mimosacleat", "The database user of the proxies.");
  static final Setting<Secret> GROUP_PASSWORD =
      withDefault(
          "password",
          new SecretType(0),
          "",
          "The password of the user; empty if the endpoints trust the proxies.");
  static final Setting<String> GROUP_DATABASE =
      withDefault(
          "database", new TextType(), "postgres", "The name of the database on the endpoints.");
  static final Setting<Long> GROUP_SLOTS =
      withDefault(
          "slots",
          new WholeNumberType(1, 10_000, "statements"),
          "3",
          "How many statements an endpoint runs concurrently.");
  static final Setting<Long> GROUP_CONNECTIONS =
      withDefault(
          "connections",
          new WholeNumberType(2, 100_000, "connections"),
          "50",
          "How many connections an endpoint allows the whole fleet.");

  static final Setting<String> ENDPOINT_GROUP =
      required("group", new TextType(), "The group that the endpoint belongs to.");
  static final Setting<String> ENDPOINT_ZONE =
      required("zone", new TextType(), "The availability zone of the endpoint.");
  static final Setting<InetSocketAddress> ENDPOINT_ADDRESS =
      required("address", new AddressType(), "The address that the endpoint listens on.");

  /** The schema of the whole settings file. */
  public static final SettingsSchema SCHEMA =
      new SettingsSchema(
          List.of(
              single("node", "This VM.", List.of(NODE_ID, NODE_ZONE, NODE_ADDRESS)),
              single(
                  "listen",
                  "The addresses that this proxy listens on.",
                  List.of(CLIENT_LISTEN_ADDRESS, PEER_LISTEN_ADDRESS, OPERATIONS_LISTEN_ADDRESS)),
              single("fleet", "Settings that all proxies of the fleet share.", List.of(PEER_KEY)),
              PlatformSettings.SCHEMA,
              single(
                  "authentication", "How clients are authenticated.", List.of(AUTHENTICATION_MODE)),
              single(
                  "limits",
                  "Limits on client connections and their requests.",
                  List.of(
                      FRAME_BYTES,
                      ANSWER_BYTES,
                      AUTHENTICATION_TIMEOUT,
                      REQUEST_TIMEOUT,
                      IDLE_TRANSACTION_TIMEOUT,
                      SHUTDOWN_TIMEOUT)),
              single(
                  "monitor",
                  "How endpoints are polled.",
                  List.of(MONITOR_INTERVAL, MONITOR_TIMEOUT, CONFIRMATION_TIMEOUT)),
              named("peer", "Another VM of the fleet.", List.of(PEER_ZONE, PEER_ADDRESS)),
              named(
                  "group",
                  "A database group.",
                  List.of(
                      GROUP_USER, GROUP_PASSWORD, GROUP_DATABASE, GROUP_SLOTS, GROUP_CONNECTIONS)),
              named(
                  "endpoint",
                  "An endpoint of a group.",
                  List.of(ENDPOINT_GROUP, ENDPOINT_ZONE, ENDPOINT_ADDRESS))));

  private ProxySchema() {}

  private static Setting<Duration> duration(String key, String defaultValue, String description) {
    return withDefault(
        key,
        new DurationType(Duration.ofMillis(1), Duration.ofHours(1)),
        defaultValue,
        description);
  }

  private static SectionSchema single(String kind, String description, List<Setting<?>> settings) {
    return new SectionSchema(kind, SectionForm.SINGLE, description, settings);
  }

  private static SectionSchema named(String kind, String description, List<Setting<?>> settings) {
    return new SectionSchema(kind, SectionForm.NAMED, description, settings);
  }
}
