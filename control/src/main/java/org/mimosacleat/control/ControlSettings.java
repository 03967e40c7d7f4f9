package org.mimosacleat.control;

import static org.mimosacleat.core.settings.Setting.required;
import static org.mimosacleat.core.settings.Setting.withDefault;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.core.settings.ListType;
import org.mimosacleat.core.settings.SectionForm;
import org.mimosacleat.core.settings.SectionSchema;
import org.mimosacleat.core.settings.Setting;
import org.mimosacleat.core.settings.Settings;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.core.settings.SettingsReader;
import org.mimosacleat.core.settings.SettingsSchema;
import org.mimosacleat.core.settings.TextType;
import org.mimosacleat.store.aws.PlatformSettings;

/**
 * The settings of mimosacleatctl.
 *
 * @param editor the operator's name, shown in the history of the lists
 * @param proxies the operations addresses of the proxies that the status command queries
 * @param platform the connection settings of the platform's services
 */
public record ControlSettings(
    String editor, List<InetSocketAddress> proxies, PlatformSettings platform) {
  private static final Setting<String> EDITOR =
      required("editor", new TextType(), "Your name, shown in the history of the lists.");
  private static final Setting<List<InetSocketAddress>> PROXIES =
      withDefault(
          "proxies",
          new ListType<>(new AddressType()),
          "",
          "Operations addresses of the proxies that the status command queries.");

  /** The sections and keys of the settings file. */
  public static final SettingsSchema SCHEMA =
      new SettingsSchema(
          List.of(
              new SectionSchema(
                  "control",
                  SectionForm.SINGLE,
                  "Settings of the operator's command-line tool.",
                  List.of(EDITOR, PROXIES)),
              PlatformSettings.SCHEMA));

  /** Copies the list of proxies. */
  public ControlSettings {
    proxies = List.copyOf(proxies);
  }

  /** Parses the settings; returns all problems if the text is invalid. */
  public static Either<List<SettingsProblem>, ControlSettings> parse(String text) {
    return new SettingsReader(SCHEMA).read(text).map(ControlSettings::from);
  }

  private static ControlSettings from(Settings settings) {
    return new ControlSettings(
        settings.get("control", EDITOR),
        settings.get("control", PROXIES),
        PlatformSettings.from(settings.section("platform")));
  }
}
