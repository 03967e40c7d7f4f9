package org.mimosacleat.store.aws;

import java.util.HashMap;
import java.util.Map;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.Attributes;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowKey;
import software.amazon.awssdk.services.dynamodb.model.AttributeValue;

/** Converts rows and conditions to DynamoDB items and expressions, and items to rows. */
final class RowItemMapper {
  static final String KIND = "kind";
  static final String NAME = "name";
  static final String ABSENT_EXPRESSION = "attribute_not_exists(#version)";
  static final String UNCHANGED_EXPRESSION = "#version = :version AND #writer = :writer";

  private static final String VERSION = "version";
  private static final String WRITER = "writer";
  private static final String ATTRIBUTES = "attributes";

  private RowItemMapper() {}

  static Map<String, AttributeValue> key(RowKey key) {
    return Map.of(KIND, AttributeValue.fromS(key.kind()), NAME, AttributeValue.fromS(key.name()));
  }

  static Map<String, AttributeValue> item(Row row) {
    Map<String, AttributeValue> texts = new HashMap<>();
    row.attributes().texts().forEach((name, text) -> texts.put(name, AttributeValue.fromS(text)));
    Map<String, AttributeValue> item = new HashMap<>(key(row.key()));
    item.put(VERSION, AttributeValue.fromN(Long.toString(row.version())));
    item.put(WRITER, AttributeValue.fromS(row.writer().value()));
    item.put(ATTRIBUTES, AttributeValue.fromM(texts));
    return item;
  }

  static Row row(Map<String, AttributeValue> item) {
    Map<String, String> texts = new HashMap<>();
    item.get(ATTRIBUTES).m().forEach((name, value) -> texts.put(name, value.s()));
    return new Row(
        new RowKey(item.get(KIND).s(), item.get(NAME).s()),
        Long.parseLong(item.get(VERSION).n()),
        new WriteId(item.get(WRITER).s()),
        new Attributes(texts));
  }

  static String expression(RowCondition condition) {
    return switch (condition) {
      case RowCondition.Absent _ -> ABSENT_EXPRESSION;
      case RowCondition.Unchanged _ -> UNCHANGED_EXPRESSION;
    };
  }

  static Map<String, String> expressionNames(RowCondition condition) {
    return switch (condition) {
      case RowCondition.Absent _ -> Map.of("#version", VERSION);
      case RowCondition.Unchanged _ -> Map.of("#version", VERSION, "#writer", WRITER);
    };
  }

  /** Returns null if the expression has no values, because DynamoDB rejects an empty map. */
  static Map<String, AttributeValue> expressionValues(RowCondition condition) {
    return switch (condition) {
      case RowCondition.Absent _ -> null;
      case RowCondition.Unchanged(long version, WriteId writer) ->
          Map.of(
              ":version",
              AttributeValue.fromN(Long.toString(version)),
              ":writer",
              AttributeValue.fromS(writer.value()));
    };
  }
}
