package org.mimosacleat.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StatementClassifierTest {
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "select 1 | READ",
        "  select 'insert' | READ",
        "/* a /* nested */ update */ select $x$ delete $x$ | READ",
        "select E'it\\'s; delete from a' | READ",
        "select * from a for update | WRITE",
        "select * from a for share | WRITE",
        "select * into b from a | WRITE",
        "with x as (delete from a returning *) select * from x | WRITE",
        "insert into a values (1) | WRITE",
        "begin | BEGIN",
        "start transaction read only | BEGIN_READ_ONLY",
        "begin read only; update a set b = 1 | BEGIN",
        "begin; insert into a values (1); commit | BEGIN",
        "commit | COMMIT",
        "rollback | ROLLBACK",
        "rollback to savepoint a | WRITE",
        "set search_path = a | SET",
        "set local search_path = a | READ",
        "set transaction isolation level serializable | READ",
        "listen a | SESSION_BOUND",
        "copy a from stdin | SESSION_BOUND",
        "create temp table a (b int) | SESSION_BOUND",
        "create table a (b int) | WRITE",
        "select pg_advisory_lock(1) | SESSION_BOUND",
        "explain analyze delete from a | WRITE",
        "explain delete from a | READ",
        "select 1; select 2 | READ",
        "select 1; insert into a values (1) | WRITE",
        "; | EMPTY"
      })
  void classifiesStatementsByKeywords(String text, StatementKind expected) {
    assertEquals(expected, StatementClassifier.classify(text));
  }

  @Test
  void lineCommentEndsAtNewline() {
    assertEquals(StatementKind.WRITE, StatementClassifier.classify("-- select\ninsert into a"));
    assertEquals(StatementKind.READ, StatementClassifier.classify("-- insert\nselect 1"));
  }
}
