package org.mimosacleat.proxy.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosacleat.core.settings.SettingsProblem;

class ProxySettingsReaderTest {
  @ParameterizedTest
  @CsvSource({"kaitiaki,3,50", "cartago,2,60"})
  void exampleSettingsHaveTheSlotsAndConnectionsOfTheirDeployment(
      String operator, int slots, int connections) throws IOException {
    String text = Files.readString(Path.of("../examples", operator, "proxy.ini"));

    ProxySettings settings =
        ProxySettingsReader.read(text)
            .getOrElseThrow(problems -> new AssertionError(problems.toString()));

    assertEquals(3, settings.groups().size());
    for (GroupSettings group : settings.groups()) {
      assertEquals(3, group.endpoints().size());
      assertEquals(slots, group.slots());
      assertEquals(connections, group.connections());
    }
  }

  @Test
  void unknownGroupOfAnEndpointIsReportedWithItsLine() throws IOException {
    String text =
        Files.readString(Path.of("../examples/kaitiaki/proxy.ini"))
            .replace("group = lending-1", "group = lending-9");

    Either<List<SettingsProblem>, ProxySettings> result = ProxySettingsReader.read(text);

    String message = result.getLeft().getFirst().message();
    assertTrue(message.contains("lending-9"), message);
    assertTrue(message.contains("lending-1"), message);
    assertTrue(message.startsWith("line "), message);
  }

  @Test
  void secretsAreNotPrinted() throws IOException {
    String text = Files.readString(Path.of("../examples/kaitiaki/proxy.ini"));

    String printed = ProxySettingsReader.read(text).get().toString();

    assertTrue(!printed.contains("replace-this-key-before-use"), printed);
  }
}
