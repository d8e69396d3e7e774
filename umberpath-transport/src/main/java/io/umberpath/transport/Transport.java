package io.umberpath.transport;

import io.umberpath.control.ControlMessage;
import io.umberpath.model.PeerAddress;
import java.io.IOException;

/**
 * Exchanges control messages between nodes. Delivery is best effort: a message may be lost but is
 * never altered or truncated. Messages to one peer are delivered in order within a connection.
 * Thread-safe.
 */
public interface Transport extends AutoCloseable {
  /** Receives messages and notifications about unreachable peers; called on transport threads. */
  interface Listener {
    /** Called with each decoded message from the peer that listens at {@code from}. */
    void onMessage(PeerAddress from, ControlMessage message);

    /** Called when a peer could not be reached or its connection was lost. */
    void onUnreachable(PeerAddress peer);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address cannot be bound
   */
  void start(Listener listener) throws IOException;

  /** Queues a message and connects if needed; drops the message if the peer's queue is full. */
  void send(PeerAddress to, ControlMessage message);

  /** Closes the connection to a peer once its send queue is empty. */
  void disconnect(PeerAddress peer);

  /** Returns the bytes and messages sent and received on control connections since start. */
  Traffic traffic();

  @Override
  void close();

  /**
   * Byte and message counters.
   *
   * @param sentBytes framed bytes written
   * @param receivedBytes framed bytes read
   * @param sentMessages messages written
   * @param receivedMessages messages read
   */
  record Traffic(long sentBytes, long receivedBytes, long sentMessages, long receivedMessages) {}
}
