package org.mimosacleat.proxy.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.wire.postgres.Frame;

/**
 * A batch with what was read out of it.
 *
 * @param batch the batch
 * @param kind what its statements do together
 * @param texts the statements' texts
 * @param parsed the statements that it prepares, by name
 * @param closed the names of the statements that it closes
 * @param injected frames that go in front, so that the endpoint knows the session's statements
 * @param refusal why it cannot be run, if so
 */
record BatchPlan(
    Batch batch,
    StatementKind kind,
    List<String> texts,
    Map<String, Frame> parsed,
    List<String> closed,
    List<Frame> injected,
    Optional<Failure> refusal) {
  BatchPlan {
    texts = List.copyOf(texts);
    parsed = Map.copyOf(parsed);
    closed = List.copyOf(closed);
    injected = List.copyOf(injected);
  }
}
