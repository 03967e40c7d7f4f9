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
 * Implements the DynamoDB operations that the adapter uses, on a {@link FakeTableService}. If the
 * fake does not answer, the connection is closed without a response.
 */
final class DynamoHandler implements HttpHandler {
  // Effectively unlimited, because the client applies its own timeout.
  private static final Duration STORE_TIMEOUT = Duration.ofHours(1);
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
      Optional<HttpResponse> response = execute(target, JsonNode.parser().parse(body));
      if (response.isPresent()) {
        response.get().send(exchange);
      }
    }
  }

  private Optional<HttpResponse> execute(String target, JsonNode request) {
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

  private Optional<HttpResponse> get(RowKey key) {
    return table
        .get(key, STORE_TIMEOUT)
        .map(
            row -> {
              JsonWriter json = JsonWriter.create();
              json.writeStartObject();
              DynamoItems.writeItemField(json, row);
              return json(HttpResponse.OK, json.writeEndObject());
            })
        .toJavaOptional();
  }

  private Optional<HttpResponse> query(JsonNode request) {
    JsonNode values = DynamoItems.child(request, "ExpressionAttributeValues");
    String kind = DynamoItems.text(DynamoItems.child(values, ":kind"), "S");
    return table.list(kind, STORE_TIMEOUT).map(DynamoHandler::rows).toJavaOptional();
  }

  private static HttpResponse rows(List<Row> rows) {
    JsonWriter json = JsonWriter.create();
    json.writeStartObject();
    json.writeFieldName("Count").writeValue(rows.size());
    json.writeFieldName("Items").writeStartArray();
    rows.forEach(row -> DynamoItems.writeRow(json, row));
    return json(HttpResponse.OK, json.writeEndArray().writeEndObject());
  }

  private Optional<HttpResponse> write(RowWrite write) {
    return switch (table.write(write, STORE_TIMEOUT)) {
      case WriteResult.Applied _ -> Optional.of(emptyObject());
      case WriteResult.ConditionFailed _ -> Optional.of(conditionFailed(write));
      case WriteResult.NotSent _, WriteResult.Unknown _ -> Optional.empty();
    };
  }

  private Optional<HttpResponse> transact(JsonNode request) {
    List<RowWrite> writes = new ArrayList<>();
    for (JsonNode part : DynamoItems.child(request, "TransactItems").asArray()) {
      part.field("Put").map(DynamoItems::put).ifPresent(writes::add);
      part.field("Delete").map(DynamoItems::delete).ifPresent(writes::add);
      part.field("ConditionCheck").map(DynamoItems::check).ifPresent(writes::add);
    }
    return switch (table.transact(writes, STORE_TIMEOUT)) {
      case WriteResult.Applied _ -> Optional.of(emptyObject());
      case WriteResult.ConditionFailed _ -> Optional.of(transactionCancelled(writes));
      case WriteResult.NotSent _, WriteResult.Unknown _ -> Optional.empty();
    };
  }

  private HttpResponse conditionFailed(RowWrite write) {
    JsonWriter json =
        beginError("ConditionalCheckFailedException", "The conditional request failed");
    DynamoItems.writeItemField(json, currentRow(write));
    return json(BAD_REQUEST, json.writeEndObject());
  }

  private HttpResponse transactionCancelled(List<RowWrite> writes) {
    JsonWriter json = beginError("TransactionCanceledException", "Transaction cancelled");
    json.writeFieldName("CancellationReasons").writeStartArray();
    for (RowWrite write : writes) {
      Optional<Row> row = currentRow(write);
      boolean holds = write.condition().holdsFor(row);
      json.writeStartObject();
      json.writeFieldName("Code").writeValue(holds ? "None" : "ConditionalCheckFailed");
      DynamoItems.writeItemField(json, row);
      json.writeEndObject();
    }
    return json(BAD_REQUEST, json.writeEndArray().writeEndObject());
  }

  /**
   * Reads the current row. It may have changed since the condition failed; the stand-in accepts
   * that.
   */
  private Optional<Row> currentRow(RowWrite write) {
    return table.get(write.key(), STORE_TIMEOUT).getOrElse(Optional.empty());
  }

  private static HttpResponse emptyObject() {
    return json(HttpResponse.OK, JsonWriter.create().writeStartObject().writeEndObject());
  }

  private static HttpResponse error(String type, String message) {
    return json(BAD_REQUEST, beginError(type, message).writeEndObject());
  }

  private static JsonWriter beginError(String type, String message) {
    JsonWriter json = JsonWriter.create();
    json.writeStartObject();
    json.writeFieldName("__type").writeValue(ERROR_PREFIX + type);
    json.writeFieldName("message").writeValue(message);
    return json;
  }

  private static HttpResponse json(int status, JsonWriter json) {
    return new HttpResponse(status, JSON, new String(json.getBytes(), StandardCharsets.UTF_8));
  }
}
