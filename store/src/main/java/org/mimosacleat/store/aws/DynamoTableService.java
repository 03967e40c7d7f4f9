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
 * A table service on DynamoDB. The table has the partition key {@code kind} and the sort key {@code
 * name}, both strings. Requests are not retried; wrap it in an {@link
 * org.mimosacleat.store.table.OutcomeResolvingTableService} to resolve unknown outcomes.
 */
public final class DynamoTableService implements TableService {
  private static final String SERVICE = "table service";
  private static final String CONDITION_FAILED = "ConditionalCheckFailed";

  private final DynamoDbClient client;
  private final DynamoRequests requests;
  private final TimeoutExecutor executor;

  DynamoTableService(DynamoDbClient client, String table, TimeoutExecutor executor) {
    this.client = client;
    this.requests = new DynamoRequests(table);
    this.executor = executor;
  }

  @Override
  public Either<Failure, Optional<Row>> get(RowKey key, Duration timeout) {
    return read(() -> row(client.getItem(requests.get(key))), timeout);
  }

  @Override
  public Either<Failure, List<Row>> list(String kind, Duration timeout) {
    Callable<List<Row>> call =
        () ->
            client.queryPaginator(requests.list(kind)).items().stream()
                .map(RowItemMapper::row)
                .toList();
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
    return executor
        .call(call, timeout)
        .mapLeft(exception -> AwsFailures.unavailable(SERVICE, exception));
  }

  private WriteResult send(Callable<?> call, List<RowWrite> writes, Duration timeout) {
    return executor
        .call(call, timeout)
        .fold(exception -> resultOfException(exception, writes), _ -> new WriteResult.Applied());
  }

  private static WriteResult resultOfException(Exception exception, List<RowWrite> writes) {
    return switch (exception) {
      case ConditionalCheckFailedException conditionFailed ->
          resultOfFailedCondition(writes.getFirst(), conditionFailed.item());
      case TransactionCanceledException cancelled -> resultOfCancellation(cancelled, writes);
      default -> resultOfError(exception);
    };
  }

  private static WriteResult resultOfCancellation(
      TransactionCanceledException cancelled, List<RowWrite> writes) {
    List<CancellationReason> reasons = cancelled.cancellationReasons();
    for (int index = 0; index < reasons.size(); index++) {
      CancellationReason reason = reasons.get(index);
      if (CONDITION_FAILED.equals(reason.code())) {
        return resultOfFailedCondition(writes.get(index), reason.item());
      }
    }
    return resultOfError(cancelled);
  }

  /**
   * If the row already holds the id of this write, the transport sent the request twice and the
   * first request took effect, so the write counts as applied.
   */
  private static WriteResult resultOfFailedCondition(
      RowWrite write, Map<String, AttributeValue> currentItem) {
    boolean ownWrite =
        write instanceof RowWrite.Put put
            && !currentItem.isEmpty()
            && RowItemMapper.row(currentItem).writer().equals(put.id());
    return ownWrite ? new WriteResult.Applied() : new WriteResult.ConditionFailed();
  }

  private static WriteResult resultOfError(Exception exception) {
    return AwsFailures.hadNoEffect(exception)
        ? new WriteResult.NotSent(
            new Failure(
                ErrorKind.UNAVAILABLE, AwsFailures.unavailable(SERVICE, exception).detail()))
        : new WriteResult.Unknown(AwsFailures.unknownOutcome(SERVICE, exception));
  }

  private static Optional<Row> row(GetItemResponse response) {
    return response.hasItem() ? Optional.of(RowItemMapper.row(response.item())) : Optional.empty();
  }
}
