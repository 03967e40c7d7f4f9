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
 * Implements the S3 operations that the adapter uses, on a {@link FakeObjectStore}. If the fake
 * does not answer, the connection is closed without a response.
 */
final class S3Handler implements HttpHandler {
  // Effectively unlimited, because the client applies its own timeout.
  private static final Duration STORE_TIMEOUT = Duration.ofHours(1);
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
      Optional<HttpResponse> response =
          switch (exchange.getRequestMethod()) {
            case "GET" -> read(exchange);
            case "PUT" -> put(exchange, new String(body, StandardCharsets.UTF_8));
            default -> Optional.of(error(METHOD_NOT_ALLOWED, "MethodNotAllowed"));
          };
      if (response.isPresent()) {
        response.get().send(exchange);
      }
    }
  }

  private Optional<HttpResponse> read(HttpExchange exchange) {
    Map<String, String> query = query(exchange);
    return query.containsKey("list-type") ? list(query) : get(exchange);
  }

  private Optional<HttpResponse> get(HttpExchange exchange) {
    Optional<EntityTag> known =
        Optional.ofNullable(exchange.getRequestHeaders().getFirst("If-None-Match"))
            .map(EntityTag::new);
    return objects
        .get(key(exchange), known, STORE_TIMEOUT)
        .map(
            read ->
                switch (read) {
                  case ObjectRead.Found(StoredObject object) ->
                      objectResponse(object, exchange.getResponseHeaders());
                  case ObjectRead.NotModified _ -> new HttpResponse(NOT_MODIFIED, "", "");
                  case ObjectRead.Missing _ -> error(NOT_FOUND, "NoSuchKey");
                })
        .toJavaOptional();
  }

  private static HttpResponse objectResponse(StoredObject object, Headers headers) {
    headers.set("ETag", object.tag().value());
    headers.set(WRITE_ID, object.writer().value());
    return new HttpResponse(HttpResponse.OK, "text/plain; charset=utf-8", object.text());
  }

  private Optional<HttpResponse> put(HttpExchange exchange, String text) {
    Headers headers = exchange.getRequestHeaders();
    String match = headers.getFirst("If-Match");
    PutCondition condition =
        match == null ? new PutCondition.Absent() : new PutCondition.Matches(new EntityTag(match));
    WriteId writer = new WriteId(headers.getFirst(WRITE_ID));
    ObjectPut put = new ObjectPut(key(exchange), condition, writer, text);
    return switch (objects.put(put, STORE_TIMEOUT)) {
      case PutResult.Stored(EntityTag tag) -> {
        exchange.getResponseHeaders().set("ETag", tag.value());
        yield Optional.of(new HttpResponse(HttpResponse.OK, "", ""));
      }
      case PutResult.ConditionFailed _ ->
          Optional.of(error(PRECONDITION_FAILED, "PreconditionFailed"));
      case PutResult.NotSent _, PutResult.Unknown _ -> Optional.empty();
    };
  }

  private Optional<HttpResponse> list(Map<String, String> query) {
    String prefix = query.getOrDefault("prefix", "");
    String after = query.getOrDefault("start-after", "");
    return objects.list(prefix, after, STORE_TIMEOUT).map(S3Handler::listResponse).toJavaOptional();
  }

  private static HttpResponse listResponse(List<ObjectKey> keys) {
    StringBuilder xml = new StringBuilder("<ListBucketResult><IsTruncated>false</IsTruncated>");
    for (ObjectKey key : keys) {
      String escaped = key.value().replace("&", "&amp;").replace("<", "&lt;");
      xml.append("<Contents><Key>").append(escaped).append("</Key></Contents>");
    }
    return new HttpResponse(HttpResponse.OK, XML, xml.append("</ListBucketResult>").toString());
  }

  private static HttpResponse error(int status, String code) {
    return new HttpResponse(status, XML, "<Error><Code>" + code + "</Code></Error>");
  }

  /** Returns the object key: the path after the bucket name. */
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
    for (String parameter : raw.split("&")) {
      String[] keyAndValue = parameter.split("=", 2);
      String value = keyAndValue.length > 1 ? keyAndValue[1] : "";
      query.put(keyAndValue[0], URLDecoder.decode(value, StandardCharsets.UTF_8));
    }
    return query;
  }
}
