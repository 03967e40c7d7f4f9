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

/** Builds the requests to DynamoDB for one table. */
final class DynamoRequests {
  private final String table;

  DynamoRequests(String table) {
    this.table = table;
  }

  GetItemRequest get(RowKey key) {
    return GetItemRequest.builder()
        .tableName(table)
        .key(RowItems.key(key))
        .consistentRead(true)
        .build();
  }

  QueryRequest list(String kind) {
    return QueryRequest.builder()
        .tableName(table)
        .keyConditionExpression("#kind = :kind")
        .expressionAttributeNames(Map.of("#kind", RowItems.KIND))
        .expressionAttributeValues(Map.of(":kind", AttributeValue.fromS(kind)))
        .consistentRead(true)
        .build();
  }

  PutItemRequest put(RowWrite.Put put) {
    RowCondition condition = put.condition();
    return PutItemRequest.builder()
        .tableName(table)
        .item(RowItems.item(put.row()))
        .conditionExpression(RowItems.expression(condition))
        .expressionAttributeNames(RowItems.expressionNames(condition))
        .expressionAttributeValues(RowItems.expressionValues(condition))
        .returnValuesOnConditionCheckFailure(ReturnValuesOnConditionCheckFailure.ALL_OLD)
        .build();
  }

  DeleteItemRequest delete(RowWrite.Delete delete) {
    RowCondition condition = delete.condition();
    return DeleteItemRequest.builder()
        .tableName(table)
        .key(RowItems.key(delete.key()))
        .conditionExpression(RowItems.expression(condition))
        .expressionAttributeNames(RowItems.expressionNames(condition))
        .expressionAttributeValues(RowItems.expressionValues(condition))
        .build();
  }

  TransactWriteItemsRequest transaction(List<RowWrite> writes) {
    return TransactWriteItemsRequest.builder()
        .transactItems(writes.stream().map(this::part).toList())
        .build();
  }

  private TransactWriteItem part(RowWrite write) {
    return switch (write) {
      case RowWrite.Put put -> TransactWriteItem.builder().put(putPart(put)).build();
      case RowWrite.Delete delete -> TransactWriteItem.builder().delete(deletePart(delete)).build();
      case RowWrite.Check check ->
          TransactWriteItem.builder().conditionCheck(checkPart(check)).build();
    };
  }

  private Put putPart(RowWrite.Put put) {
    RowCondition condition = put.condition();
    return Put.builder()
        .tableName(table)
        .item(RowItems.item(put.row()))
        .conditionExpression(RowItems.expression(condition))
        .expressionAttributeNames(RowItems.expressionNames(condition))
        .expressionAttributeValues(RowItems.expressionValues(condition))
        .returnValuesOnConditionCheckFailure(ReturnValuesOnConditionCheckFailure.ALL_OLD)
        .build();
  }

  private Delete deletePart(RowWrite.Delete delete) {
    RowCondition condition = delete.condition();
    return Delete.builder()
        .tableName(table)
        .key(RowItems.key(delete.key()))
        .conditionExpression(RowItems.expression(condition))
        .expressionAttributeNames(RowItems.expressionNames(condition))
        .expressionAttributeValues(RowItems.expressionValues(condition))
        .build();
  }

  private ConditionCheck checkPart(RowWrite.Check check) {
    RowCondition condition = check.condition();
    return ConditionCheck.builder()
        .tableName(table)
        .key(RowItems.key(check.key()))
        .conditionExpression(RowItems.expression(condition))
        .expressionAttributeNames(RowItems.expressionNames(condition))
        .expressionAttributeValues(RowItems.expressionValues(condition))
        .build();
  }
}
