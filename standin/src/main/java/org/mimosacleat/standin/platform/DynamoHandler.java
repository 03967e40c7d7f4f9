package org.mimosacleat.standin.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.WriteResult;
import software.amazon.awssdk.protocols.jsoncore.JsonNode;
import software.amazon.awssdk.protocols.jsoncore.JsonWriter;

/**
 * Speaks the calls of DynamoDB that the adapter makes, in front of a {@link FakeTableService}. An
 * answer that the fake loses closes the connection.
 */
final class DynamoHandler implements HttpHandler {
  private static final Duration PATIENCE = Duration.ofHours(1);
  private static final int BAD_REQUEST = 400;
  private static final String JSON = "application/x-amz-json-1.0";
  private static final String ERROR_PREFIX = "com.amazonaws.dynamodb.v20120810#";

  private final FakeTableService table;

  DynamoHandler(FakeTableService table) {
    this.table = table;
  }

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String target = exchange.getRequestHeaders().getFirst("X-Amz-Target");
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Optional<HttpAnswer> answer = answer(target, JsonNode.parser().parse(body));
      if (answer.isPresent()) {
        answer.get().send(exchange);
      }
    }
  }

  private Optional<HttpAnswer> answer(String target, JsonNode request) {
    String operation = target.substring(target.indexOf('.') + 1);
    return switch (operation) {
      case "GetItem" -> get(DynamoItems.key(DynamoItems.child(request, "Key")));
      case "Query" -> query(request);
      case "PutItem" -> write(DynamoItems.put(request));
      case "DeleteItem" -> write(DynamoItems.delete(request));
      case "TransactWriteItems" -> transact(request);
      default -> Optional.of(error("UnknownOperationException", operation));
    };
  }

  private Optional<HttpAnswer> get(RowKey key) {
    return table
        .get(key, PATIENCE)
        .map(
            row -> {
              JsonWriter json = JsonWriter.create();
              json.writeStartObject();
              DynamoItems.writeItem(json, row);
              return json(HttpAnswer.OK, json.writeEndObject());
            })
        .toJavaOptional();
  }

  private Optional<HttpAnswer> query(JsonNode request) {
    JsonNode values = DynamoItems.child(request, "ExpressionAttributeValues");
    String kind = DynamoItems.text(DynamoItems.child(values, ":kind"), "S");
    return table.list(kind, PATIENCE).map(DynamoHandler::rows).toJavaOptional();
  }

  private static HttpAnswer rows(List<Row> rows) {
    JsonWriter json = JsonWriter.create();
    json.writeStartObject();
    json.writeFieldName("Count").writeValue(rows.size());
    json.writeFieldName("Items").writeStartArray();
    rows.forEach(row -> DynamoItems.write(json, row));
    return json(HttpAnswer.OK, json.writeEndArray().writeEndObject());
  }

  private Optional<HttpAnswer> write(RowWrite write) {
    return switch (table.write(write, PATIENCE)) {
      case WriteResult.Applied _ -> Optional.of(emptyObject());
      case WriteResult.ConditionFailed _ -> Optional.of(refused(write));
      case WriteResult.NotSent _, WriteResult.Unknown _ -> Optional.empty();
    };
  }

  private Optional<HttpAnswer> transact(JsonNode request) {
    List<RowWrite> writes = new ArrayList<>();
    for (JsonNode part : DynamoItems.child(request, "TransactItems").asArray()) {
      part.field("Put").map(DynamoItems::put).ifPresent(writes::add);
      part.field("Delete").map(DynamoItems::delete).ifPresent(writes::add);
      part.field("ConditionCheck").map(DynamoItems::check).ifPresent(writes::add);
    }
    return switch (table.transact(writes, PATIENCE)) {
      case WriteResult.Applied _ -> Optional.of(emptyObject());
      case WriteResult.ConditionFailed _ -> Optional.of(cancelled(writes));
      case WriteResult.NotSent _, WriteResult.Unknown _ -> Optional.empty();
    };
  }

  private HttpAnswer refused(RowWrite write) {
    JsonWriter json =
        errorStart("ConditionalCheckFailedException", "The conditional request failed");
    DynamoItems.writeItem(json, present(write));
    return json(BAD_REQUEST, json.writeEndObject());
  }

  private HttpAnswer cancelled(List<RowWrite> writes) {
    JsonWriter json = errorStart("TransactionCanceledException", "Transaction cancelled");
    json.writeFieldName("CancellationReasons").writeStartArray();
    for (RowWrite write : writes) {
      Optional<Row> row = present(write);
      boolean holds = write.condition().holdsFor(row);
      json.writeStartObject();
      json.writeFieldName("Code").writeValue(holds ? "None" : "ConditionalCheckFailed");
      DynamoItems.writeItem(json, row);
      json.writeEndObject();
    }
    return json(BAD_REQUEST, json.writeEndArray().writeEndObject());
  }

  /** Reads the row as it is now, which is close enough to the moment of the refusal. */
  private Optional<Row> present(RowWrite write) {
    return table.get(write.key(), PATIENCE).getOrElse(Optional.empty());
  }

  private static HttpAnswer emptyObject() {
    return json(HttpAnswer.OK, JsonWriter.create().writeStartObject().writeEndObject());
  }

  private static HttpAnswer error(String type, String message) {
    return json(BAD_REQUEST, errorStart(type, message).writeEndObject());
  }

  private static JsonWriter errorStart(String type, String message) {
    JsonWriter json = JsonWriter.create();
    json.writeStartObject();
    json.writeFieldName("__type").writeValue(ERROR_PREFIX + type);
    json.writeFieldName("message").writeValue(message);
    return json;
  }

  private static HttpAnswer json(int status, JsonWriter json) {
    return new HttpAnswer(status, JSON, new String(json.getBytes(), StandardCharsets.UTF_8));
  }
}
