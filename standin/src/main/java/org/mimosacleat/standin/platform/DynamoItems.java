package org.mimosacleat.standin.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.Attributes;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import software.amazon.awssdk.protocols.jsoncore.JsonNode;
import software.amazon.awssdk.protocols.jsoncore.JsonWriter;

/**
 * Parses rows and conditions from DynamoDB JSON, and writes rows as DynamoDB JSON. Supports only
 * the two condition expressions that the adapter uses.
 */
final class DynamoItems {
  private static final String ABSENT_EXPRESSION = "attribute_not_exists(#version)";
  private static final String UNCHANGED_EXPRESSION = "#version = :version AND #writer = :writer";

  private DynamoItems() {}

  static String text(JsonNode node, String field) {
    return node.field(field).orElseThrow(() -> missingField(field)).text();
  }

  static JsonNode child(JsonNode node, String field) {
    return node.field(field).orElseThrow(() -> missingField(field));
  }

  static RowKey key(JsonNode item) {
    return new RowKey(text(child(item, "kind"), "S"), text(child(item, "name"), "S"));
  }

  static RowWrite.Put put(JsonNode request) {
    JsonNode item = child(request, "Item");
    Map<String, String> texts = new HashMap<>();
    child(child(item, "attributes"), "M")
        .asObject()
        .forEach((name, value) -> texts.put(name, text(value, "S")));
    WriteId writer = new WriteId(text(child(item, "writer"), "S"));
    return new RowWrite.Put(key(item), condition(request), writer, new Attributes(texts));
  }

  static RowWrite.Delete delete(JsonNode request) {
    return new RowWrite.Delete(key(child(request, "Key")), condition(request));
  }

  static RowWrite.Check check(JsonNode request) {
    return new RowWrite.Check(key(child(request, "Key")), condition(request));
  }

  static RowCondition condition(JsonNode request) {
    String expression = text(request, "ConditionExpression");
    return switch (expression) {
      case ABSENT_EXPRESSION -> new RowCondition.Absent();
      case UNCHANGED_EXPRESSION -> unchanged(child(request, "ExpressionAttributeValues"));
      default ->
          throw new IllegalArgumentException(
              "unsupported condition expression '" + expression + "'");
    };
  }

  static void writeRow(JsonWriter json, Row row) {
    json.writeStartObject();
    writeValue(json, "kind", "S", row.key().kind());
    writeValue(json, "name", "S", row.key().name());
    writeValue(json, "version", "N", Long.toString(row.version()));
    writeValue(json, "writer", "S", row.writer().value());
    json.writeFieldName("attributes").writeStartObject();
    json.writeFieldName("M").writeStartObject();
    row.attributes().texts().forEach((name, text) -> writeValue(json, name, "S", text));
    json.writeEndObject().writeEndObject().writeEndObject();
  }

  static void writeItemField(JsonWriter json, Optional<Row> row) {
    if (row.isPresent()) {
      json.writeFieldName("Item");
      writeRow(json, row.get());
    }
  }

  private static RowCondition unchanged(JsonNode values) {
    long version = Long.parseLong(text(child(values, ":version"), "N"));
    return new RowCondition.Unchanged(version, new WriteId(text(child(values, ":writer"), "S")));
  }

  private static void writeValue(JsonWriter json, String name, String type, String value) {
    json.writeFieldName(name).writeStartObject();
    json.writeFieldName(type).writeValue(value);
    json.writeEndObject();
  }

  private static IllegalArgumentException missingField(String field) {
    return new IllegalArgumentException("missing field in request: '" + field + "'");
  }
}
