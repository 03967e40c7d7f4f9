package org.mimosacleat.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyBuilder;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.FrontendType;

class PreparedStatementsTest {
  private final PreparedStatements prepared = new PreparedStatements();

  @Test
  void rejectsUnknownStatementName() throws FrameException {
    BatchPlan plan = BatchPlanner.plan(new Batch(List.of(bind("S_1"), sync())), prepared);

    assertEquals(
        Optional.of(
            new Failure(ErrorKind.UNKNOWN_STATEMENT, "prepared statement \"S_1\" does not exist")),
        plan.refusal());
  }

  @Test
  void keepsStatementsParsedBeforeBatchFailed() throws FrameException {
    Batch failed = new Batch(List.of(parse("S_1", "BEGIN"), parse("S_2", "broken"), sync()));
    byte[] answer =
        FrameWriter.encode(
            List.of(
                Frames.empty(BackendType.PARSE_COMPLETE),
                Frames.error("ERROR", "42601", "syntax error", "")));

    prepared.applyCompleted(failed, AnswerFilter.countParsed(answer));

    assertTrue(prepared.definition("S_1").isPresent());
    assertTrue(prepared.definition("S_2").isEmpty());
  }

  @Test
  void injectsParseForStatementOfFailedBatch() throws FrameException {
    Batch failed = new Batch(List.of(parse("S_1", "COMMIT"), sync()));
    prepared.applyCompleted(failed, 1);

    BatchPlan plan = BatchPlanner.plan(new Batch(List.of(bind("S_1"), sync())), prepared);

    assertEquals(2, plan.injected().size());
    assertEquals(List.of("COMMIT"), plan.texts());
  }

  private static Frame parse(String name, String text) {
    return new BodyBuilder().string(name).string(text).int16(0).frame(FrontendType.PARSE);
  }

  private static Frame bind(String name) {
    return new BodyBuilder().string("").string(name).frame(FrontendType.BIND);
  }

  private static Frame sync() {
    return new BodyBuilder().frame(FrontendType.SYNC);
  }
}
