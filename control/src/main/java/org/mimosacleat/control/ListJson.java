package org.mimosacleat.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.mimosacleat.core.lists.ListChange;
import org.mimosacleat.core.lists.PublishedList;
import software.amazon.awssdk.protocols.jsoncore.JsonWriter;

/** Formats list versions and the differences between them as JSON. */
final class ListJson {
  private ListJson() {}

  static String list(PublishedList list) {
    JsonWriter json = JsonWriter.create();
    json.writeStartObject();
    writeFields(json, list);
    json.writeFieldName("text").writeValue(list.text());
    json.writeEndObject();
    return toText(json);
  }

  static String history(List<PublishedList> versions) {
    JsonWriter json = JsonWriter.create();
    json.writeStartArray();
    for (PublishedList version : versions) {
      json.writeStartObject();
      writeFields(json, version);
      json.writeEndObject();
    }
    json.writeEndArray();
    return toText(json);
  }

  static String changes(List<ListChange> changes) {
    JsonWriter json = JsonWriter.create();
    json.writeStartArray();
    for (ListChange change : changes) {
      json.writeStartObject();
      json.writeFieldName("section").writeValue(change.section());
      json.writeFieldName("key").writeValue(change.key());
      change.before().ifPresent(value -> json.writeFieldName("before").writeValue(value));
      change.after().ifPresent(value -> json.writeFieldName("after").writeValue(value));
      json.writeEndObject();
    }
    json.writeEndArray();
    return toText(json);
  }

  private static void writeFields(JsonWriter json, PublishedList list) {
    json.writeFieldName("list").writeValue(list.kind().toString());
    json.writeFieldName("version").writeValue(list.version().number());
    json.writeFieldName("editor").writeValue(list.editor());
    json.writeFieldName("editedAt").writeValue(list.editedAt().toString());
    json.writeFieldName("note").writeValue(list.note());
    json.writeFieldName("writer").writeValue(list.writer());
  }

  private static String toText(JsonWriter json) {
    return new String(json.getBytes(), StandardCharsets.UTF_8);
  }
}
