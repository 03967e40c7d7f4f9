package org.mimosacleat.lab.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the resident memory of a process from the kernel. */
public final class ResidentMemory {
  private static final String FIELD = "VmRSS:";
  private static final long BYTES_PER_KIBIBYTE = 1024;

  private final Path status;

  private ResidentMemory(Path status) {
    this.status = status;
  }

  /** Reads that of the process with this id. */
  public static ResidentMemory ofProcess(long processId) {
    return new ResidentMemory(Path.of("/proc", Long.toString(processId), "status"));
  }

  /** Reads that of the own process. */
  public static ResidentMemory ofOwnProcess() {
    return ofProcess(ProcessHandle.current().pid());
  }

  /** Returns the present size in bytes. */
  public long bytes() throws IOException {
    return parse(Files.readAllLines(status));
  }

  static long parse(List<String> lines) throws IOException {
    for (String line : lines) {
      if (line.startsWith(FIELD)) {
        String[] words = line.substring(FIELD.length()).trim().split("\\s+");
        return Long.parseLong(words[0]) * BYTES_PER_KIBIBYTE;
      }
    }
    throw new IOException("process status has no line " + FIELD);
  }
}
