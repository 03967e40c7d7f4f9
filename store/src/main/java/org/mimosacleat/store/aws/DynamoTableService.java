package org.mimosacleat.store.aws;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.table.WriteResult;
import software.amazon.awssdk.services.dynamodb.DynamoDbClient;
import software.amazon.awssdk.services.dynamodb.model.AttributeValue;
import software.amazon.awssdk.services.dynamodb.model.CancellationReason;
import software.amazon.awssdk.services.dynamodb.model.ConditionalCheckFailedException;
import software.amazon.awssdk.services.dynamodb.model.GetItemResponse;
import software.amazon.awssdk.services.dynamodb.model.TransactionCanceledException;

/**
 * The table service over DynamoDB. The table has the partition key {@code kind} and the sort key
 * {@code name}, both texts. It makes each call once; wrap it in a {@link
 * org.mimosacleat.store.table.SettlingTableService}.
 */
public final class DynamoTableService implements TableService {
  private static final String SERVICE = "table service";
  private static final String CONDITION_FAILED = "ConditionalCheckFailed";

  private final DynamoDbClient client;
  private final DynamoRequests requests;
  private final BoundedCalls calls;

  DynamoTableService(DynamoDbClient client, String table, BoundedCalls calls) {
    this.client = client;
    this.requests = new DynamoRequests(table);
    this.calls = calls;
  }

  @Override
  public Either<Failure, Optional<Row>> get(RowKey key, Duration timeout) {
    return read(() -> row(client.getItem(requests.get(key))), timeout);
  }

  @Override
  public Either<Failure, List<Row>> list(String kind, Duration timeout) {
    Callable<List<Row>> call =
        () ->
            client.queryPaginator(requests.list(kind)).items().stream().map(RowItems::row).toList();
    return read(call, timeout);
  }

  @Override
  public WriteResult write(RowWrite write, Duration timeout) {
    return switch (write) {
      case RowWrite.Put put ->
          send(() -> client.putItem(requests.put(put)), List.of(write), timeout);
      case RowWrite.Delete delete ->
          send(() -> client.deleteItem(requests.delete(delete)), List.of(write), timeout);
      case RowWrite.Check _ -> transact(List.of(write), timeout);
    };
  }

  @Override
  public WriteResult transact(List<RowWrite> writes, Duration timeout) {
    return send(() -> client.transactWriteItems(requests.transaction(writes)), writes, timeout);
  }

  private <T> Either<Failure, T> read(Callable<T> call, Duration timeout) {
    return calls.call(call, timeout).mapLeft(exception -> AwsFailures.ofRead(SERVICE, exception));
  }

  private WriteResult send(Callable<?> call, List<RowWrite> writes, Duration timeout) {
    return calls
        .call(call, timeout)
        .fold(exception -> failed(exception, writes), _ -> new WriteResult.Applied());
  }

  private static WriteResult failed(Exception exception, List<RowWrite> writes) {
    return switch (exception) {
      case ConditionalCheckFailedException refused ->
          conditionFailed(writes.getFirst(), refused.item());
      case TransactionCanceledException cancelled -> cancelled(cancelled, writes);
      default -> withoutAnswer(exception);
    };
  }

  private static WriteResult cancelled(
      TransactionCanceledException cancelled, List<RowWrite> writes) {
    List<CancellationReason> reasons = cancelled.cancellationReasons();
    for (int index = 0; index < reasons.size(); index++) {
      CancellationReason reason = reasons.get(index);
      if (CONDITION_FAILED.equals(reason.code())) {
        return conditionFailed(writes.get(index), reason.item());
      }
    }
    return withoutAnswer(cancelled);
  }

  /**
   * A condition that failed against the writer's own write means that the transport sent the
   * request twice and the first one took effect.
   */
  private static WriteResult conditionFailed(RowWrite write, Map<String, AttributeValue> found) {
    boolean own =
        write instanceof RowWrite.Put put
            && !found.isEmpty()
            && RowItems.row(found).writer().equals(put.id());
    return own ? new WriteResult.Applied() : new WriteResult.ConditionFailed();
  }

  private static WriteResult withoutAnswer(Exception exception) {
    return AwsFailures.isWithoutEffect(exception)
        ? new WriteResult.NotSent(
            new Failure(ErrorKind.UNAVAILABLE, AwsFailures.ofRead(SERVICE, exception).detail()))
        : new WriteResult.Unknown(AwsFailures.ofUnknownWrite(SERVICE, exception));
  }

  private static Optional<Row> row(GetItemResponse response) {
    return response.hasItem() ? Optional.of(RowItems.row(response.item())) : Optional.empty();
  }
}
