package io.umberpath.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Queue of encoded frames for one peer, bounded by count and bytes. Not thread-safe. */
final class SendQueue {
  private final int maxMessages;
  private final long maxBytes;
  private final ArrayDeque<byte[]> frames = new ArrayDeque<>();
  private long queuedBytes;

  SendQueue(int maxMessages, long maxBytes) {
    this.maxMessages = maxMessages;
    this.maxBytes = maxBytes;
  }

  /** Adds a frame unless the queue is full; an empty queue accepts a frame of any size. */
  boolean offer(byte[] frame) {
    if (!frames.isEmpty()
        && (frames.size() >= maxMessages || queuedBytes + frame.length > maxBytes)) {
      return false;
    }
    frames.add(frame);
    queuedBytes += frame.length;
    return true;
  }

  /** Removes up to {@code maxBatchBytes} of frames from the head, but at least one frame if any. */
  List<byte[]> poll(int maxBatchBytes) {
    List<byte[]> batch = new ArrayList<>();
    long polledBytes = 0;
    while (!frames.isEmpty()
        && (batch.isEmpty() || polledBytes + frames.peek().length <= maxBatchBytes)) {
      byte[] frame = frames.remove();
      batch.add(frame);
      polledBytes += frame.length;
    }
    queuedBytes -= polledBytes;
    return batch;
  }

  boolean isEmpty() {
    return frames.isEmpty();
  }

  void clear() {
    frames.clear();
    queuedBytes = 0;
  }
}
