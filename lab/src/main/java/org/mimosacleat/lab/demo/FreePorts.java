package org.mimosacleat.lab.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds unused ports on the loopback address. */
final class FreePorts {
  private FreePorts() {}

  /** Returns {@code count} distinct loopback addresses with ports that are unused at this time. */
  static List<InetSocketAddress> findAddresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int index = 0; index < count; index++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream()
          .map(socket -> new InetSocketAddress("127.0.0.1", socket.getLocalPort()))
          .toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }
}
