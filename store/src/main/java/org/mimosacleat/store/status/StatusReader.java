package org.mimosacleat.store.status;

import io.vavr.control.Either;
import java.io.UncheckedIOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
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
import software.amazon.awssdk.protocols.jsoncore.JsonNode;

/** Reads the status of a proxy from the JSON text that {@link StatusWriter} writes. */
public final class StatusReader {
  private StatusReader() {}

  /** Returns the status, or the failure if the text is malformed. */
  public static Either<Failure, ProxyStatus> parse(String text) {
    try {
      return Either.right(status(JsonNode.parser().parse(text)));
    } catch (IllegalArgumentException
        | DateTimeException
        | UncheckedIOException
        | UnsupportedOperationException malformed) {
      String detail = "malformed status page: " + malformed.getMessage();
      return Either.left(new Failure(ErrorKind.PROTOCOL_VIOLATION, detail));
    }
  }

  private static ProxyStatus status(JsonNode node) {
    return new ProxyStatus(
        new VmId(text(node, "proxy")),
        new AvailabilityZone(text(node, "availabilityZone")),
        instant(node, "at"),
        instant(node, "startedAt"),
        array(node, "lists", StatusReader::list),
        array(node, "groups", StatusReader::group),
        array(node, "credits", StatusReader::credit),
        array(node, "decisions", StatusReader::decision));
  }

  private static ListStatus list(JsonNode node) {
    return new ListStatus(
        ListKind.valueOf(text(node, "list").toUpperCase(Locale.ROOT)),
        new ListVersion(number(node, "version")),
        text(node, "editor"),
        instant(node, "adoptedAt"),
        text(node, "source"));
  }

  private static GroupStatus group(JsonNode node) {
    Optional<EndpointId> primary =
        node.field("primary").map(JsonNode::asString).map(EndpointId::new);
    return new GroupStatus(
        new GroupId(text(node, "group")),
        new Term(number(node, "term")),
        primary,
        array(node, "homes", home -> new VmId(home.asString())),
        number(node, "fencingToken"));
  }

  private static CreditStatus credit(JsonNode node) {
    return new CreditStatus(
        text(node, "budget"),
        decimal(node, "remaining"),
        instant(node, "expiresAt"),
        decimal(node, "pacePerHour"),
        number(node, "connectionLimit"),
        number(node, "wantedVms"));
  }

  private static DecisionNote decision(JsonNode node) {
    return new DecisionNote(instant(node, "at"), text(node, "subject"), text(node, "explanation"));
  }

  private static JsonNode child(JsonNode node, String name) {
    return node.field(name)
        .orElseThrow(() -> new IllegalArgumentException("missing field '" + name + "'"));
  }

  private static String text(JsonNode node, String name) {
    return child(node, name).asString();
  }

  private static long number(JsonNode node, String name) {
    return Long.parseLong(child(node, name).asNumber());
  }

  private static double decimal(JsonNode node, String name) {
    return Double.parseDouble(child(node, name).asNumber());
  }

  private static Instant instant(JsonNode node, String name) {
    return Instant.parse(text(node, name));
  }

  private static <T> List<T> array(JsonNode node, String name, Function<JsonNode, T> reader) {
    return child(node, name).asArray().stream().map(reader).toList();
  }
}
