package org.mimosacleat.store.aws;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.object.EntityTag;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.object.ObjectPut;
import org.mimosacleat.store.object.ObjectRead;
import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.object.PutCondition;
import org.mimosacleat.store.object.PutResult;
import org.mimosacleat.store.object.StoredObject;
import org.mimosacleat.store.pacing.WriteId;
import software.amazon.awssdk.core.ResponseBytes;
import software.amazon.awssdk.core.sync.RequestBody;
import software.amazon.awssdk.services.s3.S3Client;
import software.amazon.awssdk.services.s3.model.GetObjectRequest;
import software.amazon.awssdk.services.s3.model.GetObjectResponse;
import software.amazon.awssdk.services.s3.model.ListObjectsV2Request;
import software.amazon.awssdk.services.s3.model.NoSuchKeyException;
import software.amazon.awssdk.services.s3.model.PutObjectRequest;
import software.amazon.awssdk.services.s3.model.S3Exception;

/**
 * An object store on S3. Requests are not retried; wrap it in an {@link
 * org.mimosacleat.store.object.OutcomeResolvingObjectStore} to resolve unknown outcomes.
 */
public final class S3ObjectStore implements ObjectStore {
  private static final String SERVICE = "object store";
  private static final String WRITE_ID = "write-id";
  private static final String UNKNOWN_WRITER = "unknown";
  private static final int NOT_MODIFIED = 304;
  private static final int CONFLICT = 409;
  private static final int PRECONDITION_FAILED = 412;

  private final S3Client client;
  private final String bucket;
  private final TimeoutExecutor executor;

  S3ObjectStore(S3Client client, String bucket, TimeoutExecutor executor) {
    this.client = client;
    this.bucket = bucket;
    this.executor = executor;
  }

  @Override
  public Either<Failure, ObjectRead> get(
      ObjectKey key, Optional<EntityTag> known, Duration timeout) {
    GetObjectRequest.Builder request = GetObjectRequest.builder().bucket(bucket).key(key.value());
    known.ifPresent(tag -> request.ifNoneMatch(tag.value()));
    return executor
        .call(() -> client.getObjectAsBytes(request.build()), timeout)
        .fold(S3ObjectStore::readWithoutObject, bytes -> Either.right(foundObject(key, bytes)));
  }

  @Override
  public PutResult put(ObjectPut put, Duration timeout) {
    PutObjectRequest.Builder request =
        PutObjectRequest.builder()
            .bucket(bucket)
            .key(put.key().value())
            .contentType("text/plain; charset=utf-8")
            .metadata(Map.of(WRITE_ID, put.id().value()));
    switch (put.condition()) {
      case PutCondition.Absent _ -> request.ifNoneMatch("*");
      case PutCondition.Matches(EntityTag tag) -> request.ifMatch(tag.value());
    }
    RequestBody body = RequestBody.fromString(put.text(), StandardCharsets.UTF_8);
    return executor
        .call(() -> client.putObject(request.build(), body), timeout)
        .fold(
            S3ObjectStore::resultOfException,
            response -> new PutResult.Stored(new EntityTag(response.eTag())));
  }

  @Override
  public Either<Failure, List<ObjectKey>> list(String prefix, String after, Duration timeout) {
    ListObjectsV2Request.Builder request =
        ListObjectsV2Request.builder().bucket(bucket).prefix(prefix);
    if (!after.isEmpty()) {
      request.startAfter(after);
    }
    return executor
        .call(() -> keys(request.build()), timeout)
        .mapLeft(exception -> AwsFailures.unavailable(SERVICE, exception));
  }

  private List<ObjectKey> keys(ListObjectsV2Request request) {
    return client.listObjectsV2Paginator(request).contents().stream()
        .map(object -> new ObjectKey(object.key()))
        .toList();
  }

  private static ObjectRead foundObject(ObjectKey key, ResponseBytes<GetObjectResponse> bytes) {
    GetObjectResponse response = bytes.response();
    String writer = response.metadata().getOrDefault(WRITE_ID, UNKNOWN_WRITER);
    EntityTag tag = new EntityTag(response.eTag());
    return new ObjectRead.Found(
        new StoredObject(key, tag, new WriteId(writer), bytes.asUtf8String()));
  }

  private static Either<Failure, ObjectRead> readWithoutObject(Exception exception) {
    if (exception instanceof NoSuchKeyException) {
      return Either.right(new ObjectRead.Missing());
    }
    boolean notModified =
        exception instanceof S3Exception s3Exception && s3Exception.statusCode() == NOT_MODIFIED;
    return notModified
        ? Either.right(new ObjectRead.NotModified())
        : Either.left(AwsFailures.unavailable(SERVICE, exception));
  }

  private static PutResult resultOfException(Exception exception) {
    int status = exception instanceof S3Exception s3Exception ? s3Exception.statusCode() : 0;
    if (status == PRECONDITION_FAILED) {
      return new PutResult.ConditionFailed();
    }
    // Status 409 means that another conditional put is in progress. The outcome is reported as
    // unknown, so that the put is sent again.
    if (status != CONFLICT && AwsFailures.hadNoEffect(exception)) {
      String detail = AwsFailures.unavailable(SERVICE, exception).detail();
      return new PutResult.NotSent(new Failure(ErrorKind.UNAVAILABLE, detail));
    }
    return new PutResult.Unknown(AwsFailures.unknownOutcome(SERVICE, exception));
  }
}
