package org.mimosacleat.standin.endpoint;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.FrontendType;
import org.mimosacleat.wire.postgres.TransactionStatus;

/** Serves one connection after its start-up, in the connection's own thread. */
final class Session {
  private final Socket socket;
  private final FrameReader reader;
  private final FrameWriter writer;
  private final SessionEngine engine;
  private final ExtendedProtocol extended;
  private final Faults faults;
  private final SessionRights rights;
  private final CancelTarget cancelTarget;
  private final List<Frame> answers = new ArrayList<>();
  private boolean skipsToSync;

  Session(
      Socket socket,
      FrameReader reader,
      FrameWriter writer,
      SessionEngine engine,
      Faults faults,
      SessionRights rights,
      CancelTarget cancelTarget) {
    this.socket = socket;
    this.reader = reader;
    this.writer = writer;
    this.engine = engine;
    this.extended = new ExtendedProtocol(engine);
    this.faults = faults;
    this.rights = rights;
    this.cancelTarget = cancelTarget;
  }

  /** Serves until the client leaves or the connection breaks. */
  void serve() throws IOException, InterruptedException {
    try {
      Frame frame = reader.read();
      while (!frame.is(FrontendType.TERMINATE)) {
        faults.awaitServing();
        handle(frame);
        frame = reader.read();
      }
    } catch (FrameException malformed) {
      writer.write(Frames.error("FATAL", SqlError.PROTOCOL_VIOLATION, malformed.getMessage(), ""));
    } finally {
      engine.close();
    }
  }

  SessionRights rights() {
    return rights;
  }

  void cancel() {
    cancelTarget.cancel();
  }

  /** Breaks the connection off; its thread ends by itself. */
  void breakOff() {
    cancelTarget.cancel();
    try {
      socket.close();
    } catch (IOException alreadyClosed) {
      // Closing is all that was wanted.
    }
  }

  private void handle(Frame frame) throws IOException, InterruptedException {
    switch (frame.type()) {
      case FrontendType.SYNC -> sync();
      case FrontendType.FLUSH -> flush();
      case FrontendType.QUERY -> simpleQuery(frame);
      default -> handleExtended(frame);
    }
  }

  private void handleExtended(Frame frame) throws IOException {
    if (skipsToSync) {
      return;
    }
    cancelTarget.begin();
    try {
      answers.addAll(extendedAnswer(frame));
    } catch (SqlError error) {
      fail(error);
      skipsToSync = true;
    } catch (InterruptedException cancelled) {
      fail(cancelledError());
      skipsToSync = true;
    } finally {
      cancelTarget.end();
    }
  }

  private List<Frame> extendedAnswer(Frame frame)
      throws SqlError, IOException, InterruptedException {
    return switch (frame.type()) {
      case FrontendType.PARSE -> extended.parse(frame);
      case FrontendType.BIND -> extended.bind(frame);
      case FrontendType.DESCRIBE -> extended.describe(frame);
      case FrontendType.EXECUTE -> extended.execute(frame);
      case FrontendType.CLOSE -> extended.close(frame);
      default ->
          throw new FrameException("frame of unknown type 0x" + Integer.toHexString(frame.type()));
    };
  }

  private void sync() throws IOException, InterruptedException {
    try {
      if (!skipsToSync) {
        engine.finishImplicit();
      }
    } catch (SqlError error) {
      fail(error);
    }
    skipsToSync = false;
    ready();
  }

  private void simpleQuery(Frame frame) throws IOException, InterruptedException {
    String text = new BodyReader(frame).readString();
    cancelTarget.begin();
    try {
      for (Command command : SqlParser.parse(text)) {
        answerSimple(engine.run(command, List.of()));
      }
      commitBeforeLastAnswer();
    } catch (SqlError error) {
      fail(error);
    } catch (InterruptedException cancelled) {
      fail(cancelledError());
    } finally {
      cancelTarget.end();
    }
    ready();
  }

  private void answerSimple(QueryResult result) {
    if (result.tag().isEmpty()) {
      answers.add(Frames.empty(BackendType.EMPTY_QUERY));
      return;
    }
    if (result.returnsRows()) {
      answers.add(ResultFrames.columns(result.columns(), List.of()));
    }
    for (List<String> row : result.rows()) {
      answers.add(ResultFrames.row(result.columns(), row, List.of()));
    }
    answers.add(Frames.commandComplete(result.tag()));
  }

  /** A commit that fails takes the place of the last statement's answer. */
  private void commitBeforeLastAnswer() throws SqlError, IOException {
    Frame last = answers.removeLast();
    engine.finishImplicit();
    answers.add(last);
  }

  private void fail(SqlError error) {
    engine.fail();
    answers.add(Frames.error("ERROR", error.sqlState(), error.getMessage(), ""));
  }

  private static SqlError cancelledError() {
    return new SqlError(SqlError.CANCELLED, "canceling statement due to user request");
  }

  private void ready() throws IOException, InterruptedException {
    TransactionStatus status = engine.status();
    if (status == TransactionStatus.IDLE) {
      extended.endTransaction();
    }
    answers.add(Frames.readyForQuery(status));
    flush();
  }

  private void flush() throws IOException, InterruptedException {
    faults.awaitServing();
    writer.write(answers);
    answers.clear();
  }
}
