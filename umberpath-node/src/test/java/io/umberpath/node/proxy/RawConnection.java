package io.umberpath.node.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A blocking socket that sends and receives raw HTTP bytes. */
final class RawConnection implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 20_000;

  /** A message as read from the wire. */
  record Message(String head, String body) {
    int status() {
      return Integer.parseInt(head.substring(9, 12));
    }

    String header(String name) {
      for (String line : head.split("\r\n")) {
        if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
          return line.substring(name.length() + 1).strip();
        }
      }
      return null;
    }
  }

  final Socket socket;
  private final InputStream input;

  RawConnection(int port) throws IOException {
    this(new Socket());
    socket.connect(new InetSocketAddress("127.0.0.1", port), TIMEOUT_MILLIS);
  }

  RawConnection(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    this.input = new LazyInput(socket);
  }

  void send(String text) throws IOException {
    send(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  /** Reads up to and including the empty line; null at a clean end before any byte. */
  String readHead() throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (true) {
      int value = input.read();
      if (value < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new EOFException("connection ended within a head: " + head);
      }
      head.write(value);
      if (value == '\n' && head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        return head.toString(StandardCharsets.ISO_8859_1);
      }
    }
  }

  /** Reads a complete message; a response without length ends with the connection. */
  Message read() throws IOException {
    String head = readHead();
    if (head == null) {
      return null;
    }
    return new Message(head, body(new Message(head, "")));
  }

  private String body(Message head) throws IOException {
    String length = head.header("Content-Length");
    if (length != null) {
      return new String(input.readNBytes(Integer.parseInt(length)), StandardCharsets.ISO_8859_1);
    }
    if (head.header("Transfer-Encoding") != null) {
      return chunks();
    }
    boolean bodyless =
        !head.head().startsWith("HTTP/") || head.status() == 204 || head.status() == 304;
    return bodyless ? "" : new String(input.readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private String chunks() throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      int size = Integer.parseInt(line(), 16);
      if (size == 0) {
        for (String trailer = line(); !trailer.isEmpty(); trailer = line()) {
          body.append('[').append(trailer).append(']');
        }
        return body.toString();
      }
      byte[] bytes = input.readNBytes(size);
      if (bytes.length < size) {
        throw new EOFException("connection ended within a chunk");
      }
      body.append(new String(bytes, StandardCharsets.ISO_8859_1));
      line();
    }
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int value = input.read(); value != '\n'; value = input.read()) {
      if (value < 0) {
        throw new EOFException("connection ended within a line");
      }
      line.append((char) value);
    }
    return line.substring(0, line.length() - 1);
  }

  /** Whether the peer closes the connection, in order or by reset, before sending another byte. */
  boolean endsNow() throws IOException {
    try {
      return input.read() < 0;
    } catch (java.net.SocketException reset) {
      return true;
    }
  }

  InputStream input() {
    return input;
  }

  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Opens the socket's stream at the first read, when it is connected. */
  private static final class LazyInput extends InputStream {
    private final Socket socket;
    private InputStream stream;

    LazyInput(Socket socket) {
      this.socket = socket;
    }

    private InputStream stream() throws IOException {
      if (stream == null) {
        stream = new BufferedInputStream(socket.getInputStream());
      }
      return stream;
    }

    @Override
    public int read() throws IOException {
      return stream().read();
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      return stream().read(bytes, offset, length);
    }
  }
}
