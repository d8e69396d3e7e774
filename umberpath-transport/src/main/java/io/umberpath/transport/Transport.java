package io.umberpath.transport;

import io.umberpath.control.ControlMessage;
import io.umberpath.model.PeerAddress;
import java.io.IOException;

/**
 * Carries control messages between nodes. Best effort: a message may be lost, never altered or
 * truncated; messages to one peer stay in order while a connection lasts. Thread-safe.
 */
public interface Transport extends AutoCloseable {
  /** Receives messages and losses; called from transport threads. */
  interface Listener {
    /** A whole, decoded message arrived from the peer that listens at {@code from}. */
    void onMessage(PeerAddress from, ControlMessage message);

    /** The peer could not be reached or its connection broke. */
    void onUnreachable(PeerAddress peer);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address cannot be bound
   */
  void start(Listener listener) throws IOException;

  /** Queues a message; connects if needed; drops it if the peer's bounded queue is full. */
  void send(PeerAddress to, ControlMessage message);

  /** Closes the connection to a peer when its queue is empty. */
  void disconnect(PeerAddress peer);

  /** Bytes sent and received on control connections since start. */
  Traffic traffic();

  @Override
  void close();

  /**
   * Byte counters.
   *
   * @param sentBytes framed bytes written
   * @param receivedBytes framed bytes read
   * @param sentMessages messages written
   * @param receivedMessages messages read
   */
  record Traffic(long sentBytes, long receivedBytes, long sentMessages, long receivedMessages) {}
}
