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

/** Serves one connection after its startup, in the thread of the connection. */
final class Session {
  private final Socket socket;
  private final FrameReader reader;
  private final FrameWriter writer;
  private final SessionEngine engine;
  private final ExtendedProtocol extended;
  private final InstanceFaults faults;
  private final FencingTokens fencingTokens;
  private final CancelTarget cancelTarget;
  private final List<Frame> responses = new ArrayList<>();
  private boolean skippingToSync;

  Session(
      Socket socket,
      FrameReader reader,
      FrameWriter writer,
      SessionEngine engine,
      InstanceFaults faults,
      FencingTokens fencingTokens,
      CancelTarget cancelTarget) {
    this.socket = socket;
    this.reader = reader;
    this.writer = writer;
    this.engine = engine;
    this.extended = new ExtendedProtocol(engine);
    this.faults = faults;
    this.fencingTokens = fencingTokens;
    this.cancelTarget = cancelTarget;
  }

  /** Serves requests until the client terminates the session or the connection fails. */
  void serve() throws IOException, InterruptedException {
    try {
      Frame frame = reader.read();
      while (!frame.hasType(FrontendType.TERMINATE)) {
        faults.awaitServing();
        handle(frame);
        frame = reader.read();
      }
    } catch (FrameException malformed) {
      writer.write(
          Frames.error("FATAL", SqlStateException.PROTOCOL_VIOLATION, malformed.getMessage(), ""));
    } finally {
      engine.close();
    }
  }

  FencingTokens fencingTokens() {
    return fencingTokens;
  }

  void cancel() {
    cancelTarget.cancel();
  }

  /** Cancels the running statement and closes the connection; its thread then ends. */
  void disconnect() {
    cancelTarget.cancel();
    try {
      socket.close();
    } catch (IOException alreadyClosed) {
      // The socket is closed already.
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
    if (skippingToSync) {
      return;
    }
    cancelTarget.beginStatement();
    try {
      responses.addAll(extendedResponse(frame));
    } catch (SqlStateException error) {
      addError(error);
      skippingToSync = true;
    } catch (InterruptedException cancelled) {
      addError(cancelledError());
      skippingToSync = true;
    } finally {
      cancelTarget.endStatement();
    }
  }

  private List<Frame> extendedResponse(Frame frame)
      throws SqlStateException, IOException, InterruptedException {
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
      if (!skippingToSync) {
        engine.commitImplicit();
      }
    } catch (SqlStateException error) {
      addError(error);
    }
    skippingToSync = false;
    sendReadyForQuery();
  }

  private void simpleQuery(Frame frame) throws IOException, InterruptedException {
    String text = new BodyReader(frame).readString();
    cancelTarget.beginStatement();
    try {
      for (Command command : SqlParser.parse(text)) {
        addSimpleResponse(engine.execute(command, List.of()));
      }
      commitBeforeLastResponse();
    } catch (SqlStateException error) {
      addError(error);
    } catch (InterruptedException cancelled) {
      addError(cancelledError());
    } finally {
      cancelTarget.endStatement();
    }
    sendReadyForQuery();
  }

  private void addSimpleResponse(QueryResult result) {
    if (result.tag().isEmpty()) {
      responses.add(Frames.empty(BackendType.EMPTY_QUERY));
      return;
    }
    if (result.returnsRows()) {
      responses.add(ResultFrames.rowDescription(result.columns(), List.of()));
    }
    for (List<String> row : result.rows()) {
      responses.add(ResultFrames.dataRow(result.columns(), row, List.of()));
    }
    responses.add(Frames.commandComplete(result.tag()));
  }

  /** Commits before the last response, so that a failed commit replaces that response. */
  private void commitBeforeLastResponse() throws SqlStateException, IOException {
    Frame last = responses.removeLast();
    engine.commitImplicit();
    responses.add(last);
  }

  private void addError(SqlStateException error) {
    engine.abortTransaction();
    responses.add(Frames.error("ERROR", error.sqlState(), error.getMessage(), ""));
  }

  private static SqlStateException cancelledError() {
    return new SqlStateException(
        SqlStateException.QUERY_CANCELED, "canceling statement due to user request");
  }

  private void sendReadyForQuery() throws IOException, InterruptedException {
    TransactionStatus status = engine.status();
    if (status == TransactionStatus.IDLE) {
      extended.endTransaction();
    }
    responses.add(Frames.readyForQuery(status));
    flush();
  }

  private void flush() throws IOException, InterruptedException {
    faults.awaitServing();
    writer.write(responses);
    responses.clear();
  }
}
