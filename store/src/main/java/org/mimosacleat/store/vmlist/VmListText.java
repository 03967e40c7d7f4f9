package org.mimosacleat.store.vmlist;

import static org.mimosacleat.core.settings.Setting.required;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.Region;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.core.settings.ChoiceType;
import org.mimosacleat.core.settings.InstantType;
import org.mimosacleat.core.settings.SectionForm;
import org.mimosacleat.core.settings.SectionSchema;
import org.mimosacleat.core.settings.Setting;
import org.mimosacleat.core.settings.Settings;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.core.settings.SettingsReader;
import org.mimosacleat.core.settings.SettingsSchema;
import org.mimosacleat.core.settings.SettingsSection;
import org.mimosacleat.core.settings.TextType;
import org.mimosacleat.core.vmlist.EndpointRecord;
import org.mimosacleat.core.vmlist.ListedState;
import org.mimosacleat.core.vmlist.VmListing;
import org.mimosacleat.core.vmlist.VmRecord;

/** Converts the VM list to INI text and back. */
public final class VmListText {
  private static final Setting<Instant> WRITTEN_AT =
      required("written-at", new InstantType(), "When the platform wrote the list.");
  private static final Setting<InetSocketAddress> ADDRESS =
      required("address", new AddressType(), "Network address.");
  private static final Setting<String> ZONE =
      required("availability-zone", new TextType(), "Availability zone in which it runs.");
  private static final Setting<String> REGION =
      required("region", new TextType(), "Region of the availability zone.");
  private static final Setting<ListedState> STATE =
      required("state", new ChoiceType<>(ListedState.class), "Whether it is live or leaving.");
  private static final Setting<String> GROUP =
      required("group", new TextType(), "Database group of the endpoint.");

  private static final SettingsSchema SCHEMA =
      new SettingsSchema(
          List.of(
              new SectionSchema(
                  "list", SectionForm.SINGLE, "Properties of the list.", List.of(WRITTEN_AT)),
              new SectionSchema(
                  "vm", SectionForm.NAMED, "A VM.", List.of(ADDRESS, ZONE, REGION, STATE)),
              new SectionSchema(
                  "endpoint",
                  SectionForm.NAMED,
                  "An endpoint.",
                  List.of(GROUP, ADDRESS, ZONE, REGION, STATE))));

  private VmListText() {}

  /** Parses a VM list, or returns all problems of the text. */
  public static Either<List<SettingsProblem>, VmListing> parse(String text) {
    return new SettingsReader(SCHEMA).read(text).map(VmListText::listing);
  }

  /** Returns the INI text of a VM list. */
  public static String format(VmListing listing) {
    StringBuilder text = new StringBuilder("[list]\n");
    appendSetting(text, WRITTEN_AT, listing.writtenAt());
    listing.vms().forEach(vm -> appendVm(vm, text));
    listing.endpoints().forEach(endpoint -> appendEndpoint(endpoint, text));
    return text.toString();
  }

  private static VmListing listing(Settings settings) {
    return new VmListing(
        settings.get("list", WRITTEN_AT),
        settings.sections("vm").stream().map(VmListText::vm).toList(),
        settings.sections("endpoint").stream().map(VmListText::endpoint).toList());
  }

  private static VmRecord vm(SettingsSection section) {
    return new VmRecord(
        new VmId(section.name()),
        section.get(ADDRESS),
        new AvailabilityZone(section.get(ZONE)),
        new Region(section.get(REGION)),
        section.get(STATE));
  }

  private static EndpointRecord endpoint(SettingsSection section) {
    return new EndpointRecord(
        new EndpointId(section.name()),
        new GroupId(section.get(GROUP)),
        section.get(ADDRESS),
        new AvailabilityZone(section.get(ZONE)),
        new Region(section.get(REGION)),
        section.get(STATE));
  }

  private static void appendVm(VmRecord vm, StringBuilder text) {
    text.append("\n[vm ").append(vm.id()).append("]\n");
    appendSetting(text, ADDRESS, AddressType.format(vm.address()));
    appendSetting(text, ZONE, vm.zone());
    appendSetting(text, REGION, vm.region());
    appendSetting(text, STATE, ChoiceType.format(vm.state()));
  }

  private static void appendEndpoint(EndpointRecord endpoint, StringBuilder text) {
    text.append("\n[endpoint ").append(endpoint.id()).append("]\n");
    appendSetting(text, GROUP, endpoint.group());
    appendSetting(text, ADDRESS, AddressType.format(endpoint.address()));
    appendSetting(text, ZONE, endpoint.zone());
    appendSetting(text, REGION, endpoint.region());
    appendSetting(text, STATE, ChoiceType.format(endpoint.state()));
  }

  private static void appendSetting(StringBuilder text, Setting<?> setting, Object value) {
    text.append(setting.key()).append(" = ").append(value).append('\n');
  }
}
