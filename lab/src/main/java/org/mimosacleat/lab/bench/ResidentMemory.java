package org.mimosacleat.lab.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the resident memory of a process from {@code /proc}. */
public final class ResidentMemory {
  private static final String RESIDENT_SIZE_FIELD = "VmRSS:";
  private static final long BYTES_PER_KIBIBYTE = 1024;

  private final Path statusFile;

  private ResidentMemory(Path status) {
    this.statusFile = status;
  }

  /** Returns a reader for the process with this id. */
  public static ResidentMemory ofProcess(long processId) {
    return new ResidentMemory(Path.of("/proc", Long.toString(processId), "status"));
  }

  /** Returns a reader for the current process. */
  public static ResidentMemory ofCurrentProcess() {
    return ofProcess(ProcessHandle.current().pid());
  }

  /** Returns the current resident size in bytes. */
  public long readBytes() throws IOException {
    return parse(Files.readAllLines(statusFile));
  }

  static long parse(List<String> lines) throws IOException {
    for (String line : lines) {
      if (line.startsWith(RESIDENT_SIZE_FIELD)) {
        String[] valueAndUnit = line.substring(RESIDENT_SIZE_FIELD.length()).trim().split("\\s+");
        return Long.parseLong(valueAndUnit[0]) * BYTES_PER_KIBIBYTE;
      }
    }
    throw new IOException(
        "resident memory not found: the process status has no line " + RESIDENT_SIZE_FIELD);
  }
}
