package org.mimosacleat.proxy.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.settings.Settings;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.core.settings.SettingsReader;
import org.mimosacleat.core.settings.SettingsSection;
import org.mimosacleat.store.aws.PlatformSettings;

/** Reads a proxy's settings and checks the rules that span several sections. */
public final class ProxySettingsReader {
  private ProxySettingsReader() {}

  /** Returns the settings in {@code text}, or all its problems on the left. */
  public static Either<List<SettingsProblem>, ProxySettings> read(String text) {
    return new SettingsReader(ProxySchema.SCHEMA)
        .read(text)
        .flatMap(
            settings -> {
              List<SettingsProblem> problems = crossSectionProblems(settings);
              return problems.isEmpty()
                  ? Either.right(toProxySettings(settings))
                  : Either.left(problems);
            });
  }

  private static List<SettingsProblem> crossSectionProblems(Settings settings) {
    List<String> groups = settings.sections("group").stream().map(SettingsSection::name).toList();
    List<SettingsProblem> problems = new ArrayList<>();
    for (SettingsSection endpoint : settings.sections("endpoint")) {
      String group = endpoint.get(ProxySchema.ENDPOINT_GROUP);
      if (!groups.contains(group)) {
        problems.add(
            new SettingsProblem(
                endpoint.line(),
                "endpoint " + endpoint.name(),
                ProxySchema.ENDPOINT_GROUP.key(),
                group,
                "the name of a [group NAME]: " + String.join(", ", groups)));
      }
    }
    for (SettingsSection group : settings.sections("group")) {
      if (endpointsOf(settings, group.name()).isEmpty()) {
        problems.add(
            new SettingsProblem(
                group.line(), "group " + group.name(), "", "", "at least one [endpoint NAME]"));
      }
    }
    return problems;
  }

  private static ProxySettings toProxySettings(Settings settings) {
    SettingsSection node = settings.section("node");
    return new ProxySettings(
        new PeerSettings(
            new VmId(node.get(ProxySchema.NODE_ID)),
            new AvailabilityZone(node.get(ProxySchema.NODE_ZONE)),
            node.get(ProxySchema.NODE_ADDRESS)),
        listen(settings.section("listen")),
        limits(settings.section("limits")),
        monitor(settings.section("monitor")),
        settings.get("fleet", ProxySchema.PEER_KEY),
        PlatformSettings.from(settings.section("platform")),
        settings.get("authentication", ProxySchema.AUTHENTICATION_MODE),
        settings.sections("peer").stream().map(ProxySettingsReader::peer).toList(),
        settings.sections("group").stream().map(section -> group(settings, section)).toList());
  }

  private static ListenSettings listen(SettingsSection section) {
    return new ListenSettings(
        section.get(ProxySchema.CLIENT_LISTEN_ADDRESS),
        section.get(ProxySchema.PEER_LISTEN_ADDRESS),
        section.get(ProxySchema.OPERATIONS_LISTEN_ADDRESS));
  }

  private static LimitSettings limits(SettingsSection section) {
    return new LimitSettings(
        Math.toIntExact(section.get(ProxySchema.FRAME_BYTES)),
        Math.toIntExact(section.get(ProxySchema.ANSWER_BYTES)),
        section.get(ProxySchema.AUTHENTICATION_TIMEOUT),
        section.get(ProxySchema.REQUEST_TIMEOUT),
        section.get(ProxySchema.IDLE_TRANSACTION_TIMEOUT),
        section.get(ProxySchema.SHUTDOWN_TIMEOUT));
  }

  private static MonitorSettings monitor(SettingsSection section) {
    return new MonitorSettings(
        section.get(ProxySchema.MONITOR_INTERVAL),
        section.get(ProxySchema.MONITOR_TIMEOUT),
        section.get(ProxySchema.CONFIRMATION_TIMEOUT));
  }

  private static PeerSettings peer(SettingsSection section) {
    return new PeerSettings(
        new VmId(section.name()),
        new AvailabilityZone(section.get(ProxySchema.PEER_ZONE)),
        section.get(ProxySchema.PEER_ADDRESS));
  }

  private static GroupSettings group(Settings settings, SettingsSection section) {
    return new GroupSettings(
        new GroupId(section.name()),
        section.get(ProxySchema.GROUP_USER),
        section.get(ProxySchema.GROUP_PASSWORD),
        section.get(ProxySchema.GROUP_DATABASE),
        Math.toIntExact(section.get(ProxySchema.GROUP_SLOTS)),
        Math.toIntExact(section.get(ProxySchema.GROUP_CONNECTIONS)),
        endpointsOf(settings, section.name()));
  }

  private static List<EndpointSettings> endpointsOf(Settings settings, String group) {
    return settings.sections("endpoint").stream()
        .filter(section -> section.get(ProxySchema.ENDPOINT_GROUP).equals(group))
        .map(ProxySettingsReader::endpoint)
        .toList();
  }

  private static EndpointSettings endpoint(SettingsSection section) {
    return new EndpointSettings(
        new EndpointId(section.name()),
        new AvailabilityZone(section.get(ProxySchema.ENDPOINT_ZONE)),
        section.get(ProxySchema.ENDPOINT_ADDRESS));
  }
}
