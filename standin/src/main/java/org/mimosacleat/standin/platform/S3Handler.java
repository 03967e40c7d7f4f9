package org.mimosacleat.standin.platform;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.store.object.EntityTag;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.object.ObjectPut;
import org.mimosacleat.store.object.ObjectRead;
import org.mimosacleat.store.object.PutCondition;
import org.mimosacleat.store.object.PutResult;
import org.mimosacleat.store.object.StoredObject;
import org.mimosacleat.store.pacing.WriteId;

/**
 * Speaks the calls of S3 that the adapter makes, in front of a {@link FakeObjectStore}. An answer
 * that the fake loses closes the connection.
 */
final class S3Handler implements HttpHandler {
  private static final Duration PATIENCE = Duration.ofHours(1);
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int PRECONDITION_FAILED = 412;
  private static final String XML = "application/xml";
  private static final String WRITE_ID = "x-amz-meta-write-id";

  private final FakeObjectStore objects;

  S3Handler(FakeObjectStore objects) {
    this.objects = objects;
  }

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Optional<HttpAnswer> answer =
          switch (exchange.getRequestMethod()) {
            case "GET" -> read(exchange);
            case "PUT" -> put(exchange, new String(body, StandardCharsets.UTF_8));
            default -> Optional.of(error(METHOD_NOT_ALLOWED, "MethodNotAllowed"));
          };
      if (answer.isPresent()) {
        answer.get().send(exchange);
      }
    }
  }

  private Optional<HttpAnswer> read(HttpExchange exchange) {
    Map<String, String> query = query(exchange);
    return query.containsKey("list-type") ? list(query) : get(exchange);
  }

  private Optional<HttpAnswer> get(HttpExchange exchange) {
    Optional<EntityTag> known =
        Optional.ofNullable(exchange.getRequestHeaders().getFirst("If-None-Match"))
            .map(EntityTag::new);
    return objects
        .get(key(exchange), known, PATIENCE)
        .map(
            read ->
                switch (read) {
                  case ObjectRead.Found(StoredObject object) ->
                      found(object, exchange.getResponseHeaders());
                  case ObjectRead.NotModified _ -> new HttpAnswer(NOT_MODIFIED, "", "");
                  case ObjectRead.Missing _ -> error(NOT_FOUND, "NoSuchKey");
                })
        .toJavaOptional();
  }

  private static HttpAnswer found(StoredObject object, Headers headers) {
    headers.set("ETag", object.tag().value());
    headers.set(WRITE_ID, object.writer().value());
    return new HttpAnswer(HttpAnswer.OK, "text/plain; charset=utf-8", object.text());
  }

  private Optional<HttpAnswer> put(HttpExchange exchange, String text) {
    Headers headers = exchange.getRequestHeaders();
    String match = headers.getFirst("If-Match");
    PutCondition condition =
        match == null ? new PutCondition.Absent() : new PutCondition.Matches(new EntityTag(match));
    WriteId writer = new WriteId(headers.getFirst(WRITE_ID));
    ObjectPut put = new ObjectPut(key(exchange), condition, writer, text);
    return switch (objects.put(put, PATIENCE)) {
      case PutResult.Stored(EntityTag tag) -> {
        exchange.getResponseHeaders().set("ETag", tag.value());
        yield Optional.of(new HttpAnswer(HttpAnswer.OK, "", ""));
      }
      case PutResult.ConditionFailed _ ->
          Optional.of(error(PRECONDITION_FAILED, "PreconditionFailed"));
      case PutResult.NotSent _, PutResult.Unknown _ -> Optional.empty();
    };
  }

  private Optional<HttpAnswer> list(Map<String, String> query) {
    String prefix = query.getOrDefault("prefix", "");
    String after = query.getOrDefault("start-after", "");
    return objects.list(prefix, after, PATIENCE).map(S3Handler::keys).toJavaOptional();
  }

  private static HttpAnswer keys(List<ObjectKey> keys) {
    StringBuilder xml = new StringBuilder("<ListBucketResult><IsTruncated>false</IsTruncated>");
    for (ObjectKey key : keys) {
      String escaped = key.value().replace("&", "&amp;").replace("<", "&lt;");
      xml.append("<Contents><Key>").append(escaped).append("</Key></Contents>");
    }
    return new HttpAnswer(HttpAnswer.OK, XML, xml.append("</ListBucketResult>").toString());
  }

  private static HttpAnswer error(int status, String code) {
    return new HttpAnswer(status, XML, "<Error><Code>" + code + "</Code></Error>");
  }

  /** Returns the part of the path after the bucket. */
  private static ObjectKey key(HttpExchange exchange) {
    String path = exchange.getRequestURI().getPath();
    return new ObjectKey(path.substring(path.indexOf('/', 1) + 1));
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw == null) {
      return query;
    }
    for (String part : raw.split("&")) {
      String[] sides = part.split("=", 2);
      String value = sides.length > 1 ? sides[1] : "";
      query.put(sides[0], URLDecoder.decode(value, StandardCharsets.UTF_8));
    }
    return query;
  }
}
