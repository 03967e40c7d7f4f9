package org.mimosacleat.store.status;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.function.BiConsumer;
import org.mimosacleat.core.status.CreditStatus;
import org.mimosacleat.core.status.DecisionNote;
import org.mimosacleat.core.status.GroupStatus;
import org.mimosacleat.core.status.ListStatus;
import org.mimosacleat.core.status.ProxyStatus;
import software.amazon.awssdk.protocols.jsoncore.JsonWriter;

/** Writes the status of a proxy as JSON; {@link StatusReader} reads it. */
public final class StatusWriter {
  private StatusWriter() {}

  /** Returns the status of a proxy as JSON text. */
  public static String format(ProxyStatus status) {
    JsonWriter json = JsonWriter.create();
    write(json, status);
    return text(json);
  }

  /** Returns the statuses of several proxies as JSON text, in an array. */
  public static String formatAll(Collection<ProxyStatus> statuses) {
    JsonWriter json = JsonWriter.create();
    json.writeStartArray();
    statuses.forEach(status -> write(json, status));
    json.writeEndArray();
    return text(json);
  }

  private static void write(JsonWriter json, ProxyStatus status) {
    json.writeStartObject();
    json.writeFieldName("proxy").writeValue(status.proxy().value());
    json.writeFieldName("availabilityZone").writeValue(status.zone().value());
    json.writeFieldName("at").writeValue(status.at().toString());
    json.writeFieldName("startedAt").writeValue(status.startedAt().toString());
    array(json, "lists", status.lists(), StatusWriter::list);
    array(json, "groups", status.groups(), StatusWriter::group);
    array(json, "credits", status.credits(), StatusWriter::credit);
    array(json, "decisions", status.decisions(), StatusWriter::decision);
    json.writeEndObject();
  }

  private static <T> void array(
      JsonWriter json, String name, Collection<T> values, BiConsumer<JsonWriter, T> writer) {
    json.writeFieldName(name).writeStartArray();
    for (T value : values) {
      json.writeStartObject();
      writer.accept(json, value);
      json.writeEndObject();
    }
    json.writeEndArray();
  }

  private static void list(JsonWriter json, ListStatus list) {
    json.writeFieldName("list").writeValue(list.kind().toString());
    json.writeFieldName("version").writeValue(list.version().number());
    json.writeFieldName("editor").writeValue(list.editor());
    json.writeFieldName("adoptedAt").writeValue(list.adoptedAt().toString());
    json.writeFieldName("source").writeValue(list.source());
  }

  private static void group(JsonWriter json, GroupStatus group) {
    json.writeFieldName("group").writeValue(group.group().value());
    json.writeFieldName("term").writeValue(group.term().number());
    group.primary().ifPresent(id -> json.writeFieldName("primary").writeValue(id.value()));
    json.writeFieldName("homes").writeStartArray();
    group.homes().forEach(home -> json.writeValue(home.value()));
    json.writeEndArray();
    json.writeFieldName("fencingToken").writeValue(group.fencingToken());
  }

  private static void credit(JsonWriter json, CreditStatus credit) {
    json.writeFieldName("budget").writeValue(credit.budget());
    json.writeFieldName("remaining").writeValue(credit.remaining());
    json.writeFieldName("expiresAt").writeValue(credit.expiresAt().toString());
    json.writeFieldName("pacePerHour").writeValue(credit.pacePerHour());
    json.writeFieldName("connectionLimit").writeValue(credit.connectionLimit());
    json.writeFieldName("wantedVms").writeValue(credit.wantedVms());
  }

  private static void decision(JsonWriter json, DecisionNote note) {
    json.writeFieldName("at").writeValue(note.at().toString());
    json.writeFieldName("subject").writeValue(note.subject());
    json.writeFieldName("explanation").writeValue(note.explanation());
  }

  private static String text(JsonWriter json) {
    return new String(json.getBytes(), StandardCharsets.UTF_8);
  }
}
