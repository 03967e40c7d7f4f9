package org.mimosacleat.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.status.CreditStatus;
import org.mimosacleat.core.status.DecisionNote;
import org.mimosacleat.core.status.GroupStatus;
import org.mimosacleat.core.status.ListStatus;
import org.mimosacleat.core.status.ProxyStatus;
import org.mimosacleat.standin.platform.PlatformStandin;
import org.mimosacleat.store.status.StatusReader;
import org.mimosacleat.store.status.StatusWriter;
import picocli.CommandLine;

class ControlCommandTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  @TempDir private Path folder;
  private PlatformStandin standin;
  private StringWriter out;
  private StringWriter err;

  @BeforeEach
  void start() throws IOException {
    standin = PlatformStandin.start(InetAddress.getLoopbackAddress());
    writeSettings("127.0.0.1:1");
  }

  @AfterEach
  void stop() {
    standin.close();
  }

  @Test
  void listsArePutEditedShownAndCompared() throws IOException {
    putExamples();

    assertEquals(
        0,
        run(
            "plans",
            "edit",
            "--section",
            "customer map",
            "--key",
            "plan",
            "--value",
            "office",
            "--note",
            "audit week"),
        err.toString());
    assertEquals(0, run("plans", "show"));
    String examples = Files.readString(Path.of("..", "examples", "cartago", "plans.ini"));
    assertEquals(examples.replace("plan = public", "plan = office"), out.toString());
    assertTrue(err.toString().contains("plans version 2 by ana"), err.toString());
    assertEquals(0, run("plans", "diff", "1", "2", "--output", "json"));
    assertEquals(
        "[{\"section\":\"customer map\",\"key\":\"plan\","
            + "\"before\":\"public\",\"after\":\"office\"}]",
        out.toString().strip());
    assertEquals(0, run("plans", "history"));
    assertTrue(out.toString().contains("audit week"));
    assertEquals(0, run("plans", "show", "--version-number", "1", "--output", "json"));
    assertTrue(out.toString().contains("\"version\":1"));
  }

  @Test
  void conflictReportsTheNewestVersionAndPrintsTheRejectedText() throws IOException {
    putExamples();
    run("plans", "edit", "--section", "customer audits", "--remove");
    Path conflictingFile = writeFile("late.ini", "# mine\n[customer crews]\nplan = office\n");

    int code = run("plans", "put", conflictingFile.toString(), "--base", "1");

    assertEquals(ExitCode.CONFLICT.code(), code);
    assertTrue(err.toString().contains("ana was first with version 2"), err.toString());
    assertTrue(err.toString().contains("[customer audits] plan: background -> (absent)"));
    assertEquals(Files.readString(conflictingFile), out.toString());
  }

  @Test
  void invalidListIsRejectedEntirely() throws IOException {
    putExamples();
    Path invalidFile =
        writeFile("wrong.ini", "[customer crews]\nplan = ofice\n[customer map]\nplam = x\n");

    assertEquals(
        ExitCode.INVALID.code(), run("plans", "put", invalidFile.toString(), "--base", "1"));
    assertTrue(err.toString().contains("line 4"), err.toString());
    run("plans", "history");
    assertEquals(1, out.toString().lines().count());
  }

  @Test
  void editDuringStoreOutageIsRejectedAsUnavailable() throws IOException {
    putExamples();
    standin.tableFaults().setDown(true);

    int code = run("plans", "edit", "--section", "customer map", "--remove");

    assertEquals(ExitCode.UNAVAILABLE.code(), code);
    standin.tableFaults().setDown(false);
    run("plans", "history");
    assertEquals(1, out.toString().lines().count());
  }

  @Test
  void statusShowsEachProxyAndNamesTheUnreachableOne() throws IOException {
    HttpServer proxy = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    byte[] page = StatusWriter.format(status()).getBytes(StandardCharsets.UTF_8);
    proxy.createContext(
        "/status",
        exchange -> {
          exchange.sendResponseHeaders(200, page.length);
          exchange.getResponseBody().write(page);
          exchange.close();
        });
    proxy.start();
    writeSettings("127.0.0.1:" + proxy.getAddress().getPort() + ", 127.0.0.1:1");

    int code = run("status");
    proxy.stop(0);

    assertEquals(ExitCode.UNAVAILABLE.code(), code);
    assertTrue(out.toString().contains("group lending-1 term 3 primary lending-1-b"));
    assertTrue(out.toString().contains("lease of entry-2 lapsed"));
    assertTrue(err.toString().contains("127.0.0.1:1"));
    assertEquals(status(), StatusReader.parse(StatusWriter.format(status())).get());
    assertTrue(StatusReader.parse("{\"proxy\": 3}").isLeft());
  }

  @Test
  void settingsAreCheckedAndDefaultsPrinted() throws IOException {
    Path invalidFile = writeFile("wrong.ini", "[control]\neditr = ana\n");

    assertEquals(ExitCode.INVALID.code(), run("check", invalidFile.toString()));
    assertTrue(err.toString().contains("did you mean 'editor'"), err.toString());
    assertEquals(0, run("print-defaults"));
    assertTrue(out.toString().contains("timeout = 2s"));
    assertEquals(0, run("generate-completion"));
    assertTrue(out.toString().contains("allowances"));
    assertEquals(ExitCode.USAGE.code(), run("plans", "put"));
  }

  private static ProxyStatus status() {
    return new ProxyStatus(
        new VmId("entry-1"),
        new AvailabilityZone("tamaki"),
        NOW,
        NOW,
        List.of(new ListStatus(ListKind.PLANS, new ListVersion(12), "ana", NOW, "store")),
        List.of(
            new GroupStatus(
                new GroupId("lending-1"),
                new Term(3),
                Optional.of(new EndpointId("lending-1-b")),
                List.of(new VmId("entry-1"), new VmId("entry-4")),
                17)),
        List.of(new CreditStatus("credits-2026", 812.5, NOW, 0.25, 120, 13)),
        List.of(new DecisionNote(NOW, "lending-1", "home taken: lease of entry-2 lapsed")));
  }

  private void putExamples() {
    Path examples = Path.of("..", "examples", "cartago");
    String allowances = examples.resolve("allowances.ini").toString();
    String plans = examples.resolve("plans.ini").toString();
    assertEquals(0, run("allowances", "put", allowances, "--base", "0"), err.toString());
    assertEquals(0, run("plans", "put", plans, "--base", "0"), err.toString());
  }

  private void writeSettings(String proxies) throws IOException {
    writeFile(
        "control.ini",
        "[control]\neditor = ana\nproxies = "
            + proxies
            + "\n[platform]\ntable-endpoint = "
            + standin.tableEndpoint()
            + "\nobject-endpoint = "
            + standin.objectEndpoint()
            + "\nregion = local\naccess-key = local\nsecret-key = local\ntimeout = 10s\n");
  }

  private Path writeFile(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  private int run(String... arguments) {
    out = new StringWriter();
    err = new StringWriter();
    CommandLine command = ControlCommand.commandLine();
    command.setOut(new PrintWriter(out, true));
    command.setErr(new PrintWriter(err, true));
    boolean takesSettings =
        !List.of("check", "print-defaults", "generate-completion").contains(arguments[0]);
    if (!takesSettings) {
      return command.execute(arguments);
    }
    String[] all = java.util.Arrays.copyOf(arguments, arguments.length + 2);
    all[arguments.length] = "--settings";
    all[arguments.length + 1] = folder.resolve("control.ini").toString();
    return command.execute(all);
  }
}
