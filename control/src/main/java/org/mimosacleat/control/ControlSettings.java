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
 * @param editor who the operator is; the history shows it
 * @param proxies the operations addresses of the proxies whose status is shown
 * @param platform where the platform's services are
 */
public record ControlSettings(
    String editor, List<InetSocketAddress> proxies, PlatformSettings platform) {
  private static final Setting<String> EDITOR =
      required("editor", new TextType(), "Your name, as the history of the lists shows it.");
  private static final Setting<List<InetSocketAddress>> PROXIES =
      withDefault(
          "proxies",
          new ListType<>(new AddressType()),
          "",
          "Operations addresses of the proxies that status asks.");

  /** The sections and keys of the settings file. */
  public static final SettingsSchema SCHEMA =
      new SettingsSchema(
          List.of(
              new SectionSchema(
                  "control",
                  SectionForm.SINGLE,
                  "The operator's own tool.",
                  List.of(EDITOR, PROXIES)),
              PlatformSettings.SCHEMA));

  /** Copies the list. */
  public ControlSettings {
    proxies = List.copyOf(proxies);
  }

  /** Reads the settings, or returns all problems of the text. */
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
