package org.mimosacleat.store.aws;

import java.util.List;
import java.util.Map;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import software.amazon.awssdk.services.dynamodb.model.AttributeValue;
import software.amazon.awssdk.services.dynamodb.model.ConditionCheck;
import software.amazon.awssdk.services.dynamodb.model.Delete;
import software.amazon.awssdk.services.dynamodb.model.DeleteItemRequest;
import software.amazon.awssdk.services.dynamodb.model.GetItemRequest;
import software.amazon.awssdk.services.dynamodb.model.Put;
import software.amazon.awssdk.services.dynamodb.model.PutItemRequest;
import software.amazon.awssdk.services.dynamodb.model.QueryRequest;
import software.amazon.awssdk.services.dynamodb.model.ReturnValuesOnConditionCheckFailure;
import software.amazon.awssdk.services.dynamodb.model.TransactWriteItem;
import software.amazon.awssdk.services.dynamodb.model.TransactWriteItemsRequest;

/** Creates the DynamoDB requests for one table. */
final class DynamoRequests {
  private final String table;

  DynamoRequests(String table) {
    this.table = table;
  }

  GetItemRequest get(RowKey key) {
    return GetItemRequest.builder()
        .tableName(table)
        .key(RowItemMapper.key(key))
        .consistentRead(true)
        .build();
  }

  QueryRequest list(String kind) {
    return QueryRequest.builder()
        .tableName(table)
        .keyConditionExpression("#kind = :kind")
        .expressionAttributeNames(Map.of("#kind", RowItemMapper.KIND))
        .expressionAttributeValues(Map.of(":kind", AttributeValue.fromS(kind)))
        .consistentRead(true)
        .build();
  }

  PutItemRequest put(RowWrite.Put put) {
    RowCondition condition = put.condition();
    return PutItemRequest.builder()
        .tableName(table)
        .item(RowItemMapper.item(put.row()))
        .conditionExpression(RowItemMapper.expression(condition))
        .expressionAttributeNames(RowItemMapper.expressionNames(condition))
        .expressionAttributeValues(RowItemMapper.expressionValues(condition))
        .returnValuesOnConditionCheckFailure(ReturnValuesOnConditionCheckFailure.ALL_OLD)
        .build();
  }

  DeleteItemRequest delete(RowWrite.Delete delete) {
    RowCondition condition = delete.condition();
    return DeleteItemRequest.builder()
        .tableName(table)
        .key(RowItemMapper.key(delete.key()))
        .conditionExpression(RowItemMapper.expression(condition))
        .expressionAttributeNames(RowItemMapper.expressionNames(condition))
        .expressionAttributeValues(RowItemMapper.expressionValues(condition))
        .build();
  }

  TransactWriteItemsRequest transaction(List<RowWrite> writes) {
    return TransactWriteItemsRequest.builder()
        .transactItems(writes.stream().map(this::transactItem).toList())
        .build();
  }

  private TransactWriteItem transactItem(RowWrite write) {
    return switch (write) {
      case RowWrite.Put put -> TransactWriteItem.builder().put(transactPut(put)).build();
      case RowWrite.Delete delete ->
          TransactWriteItem.builder().delete(transactDelete(delete)).build();
      case RowWrite.Check check ->
          TransactWriteItem.builder().conditionCheck(transactCheck(check)).build();
    };
  }

  private Put transactPut(RowWrite.Put put) {
    RowCondition condition = put.condition();
    return Put.builder()
        .tableName(table)
        .item(RowItemMapper.item(put.row()))
        .conditionExpression(RowItemMapper.expression(condition))
        .expressionAttributeNames(RowItemMapper.expressionNames(condition))
        .expressionAttributeValues(RowItemMapper.expressionValues(condition))
        .returnValuesOnConditionCheckFailure(ReturnValuesOnConditionCheckFailure.ALL_OLD)
        .build();
  }

  private Delete transactDelete(RowWrite.Delete delete) {
    RowCondition condition = delete.condition();
    return Delete.builder()
        .tableName(table)
        .key(RowItemMapper.key(delete.key()))
        .conditionExpression(RowItemMapper.expression(condition))
        .expressionAttributeNames(RowItemMapper.expressionNames(condition))
        .expressionAttributeValues(RowItemMapper.expressionValues(condition))
        .build();
  }

  private ConditionCheck transactCheck(RowWrite.Check check) {
    RowCondition condition = check.condition();
    return ConditionCheck.builder()
        .tableName(table)
        .key(RowItemMapper.key(check.key()))
        .conditionExpression(RowItemMapper.expression(condition))
        .expressionAttributeNames(RowItemMapper.expressionNames(condition))
        .expressionAttributeValues(RowItemMapper.expressionValues(condition))
        .build();
  }
}
