package io.umberpath.transport;

import io.umberpath.control.ControlMessage;
import io.umberpath.model.PeerAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records the messages and unreachable peers that a transport reports. */
final class RecordingListener implements Transport.Listener {
  private record Received(PeerAddress from, ControlMessage message) {}

  private final List<Received> received = new CopyOnWriteArrayList<>();
  final List<PeerAddress> unreachable = new CopyOnWriteArrayList<>();

  @Override
  public void onMessage(PeerAddress from, ControlMessage message) {
    received.add(new Received(from, message));
  }

  @Override
  public void onUnreachable(PeerAddress peer) {
    unreachable.add(peer);
  }

  List<Integer> numbersFrom(PeerAddress peer) {
    return received.stream()
        .filter(entry -> entry.from().equals(peer))
        .map(entry -> TestMessages.numberOf(entry.message()))
        .toList();
  }
}
