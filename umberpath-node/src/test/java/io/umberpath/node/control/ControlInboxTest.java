package io.umberpath.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ControlInboxTest {
  private static final PeerAddress PEER = new PeerAddress("127.0.0.1", 1);
  private static final Member JOINING = new Member(-1, PEER, 1, "zone", "region");

  private final ControlInbox inbox = new ControlInbox(3, new ReplaceableMessages());

  private static ControlMessage report(long number, List<Member> joins) {
    return new ControlMessage.Report(1, number, 1, Round.NONE, List.of(), joins, false, false);
  }

  private static ControlMessage heartbeat(long number) {
    return new ControlMessage.Deliver(
        new Round(1, number), PEER, 0, Version.NONE, 0, List.of(), List.of());
  }

  private void arrive(ControlMessage message) {
    inbox.addMessage(new ControlInput.MessageReceived(PEER, message));
  }

  private List<Object> takeAll() throws InterruptedException {
    List<Object> all = new ArrayList<>();
    Optional<ControlTask> next = inbox.poll(0);
    while (next.isPresent()) {
      ControlInput input = ((ControlTask.Input) next.get()).input();
      all.add(input instanceof ControlInput.MessageReceived got ? got.message() : input);
      next = inbox.poll(0);
    }
    return all;
  }

  @Test
  void keepsOrder() throws InterruptedException {
    ControlInput unreachable = new ControlInput.PeerUnreachable(PEER);
    arrive(heartbeat(1));
    inbox.add(unreachable);
    arrive(heartbeat(2));
    assertThat(takeAll()).containsExactly(heartbeat(1), unreachable, heartbeat(2));
    assertThat(inbox.dropped()).isZero();
  }

  @Test
  void dropsTheOldestReplaceableMessageWhenFull() throws InterruptedException {
    ControlMessage joins = report(1, List.of(JOINING));
    arrive(joins);
    arrive(heartbeat(1));
    arrive(report(2, List.of()));
    arrive(new ControlMessage.Detach());
    assertThat(takeAll()).containsExactly(joins, report(2, List.of()), new ControlMessage.Detach());
    assertThat(inbox.dropped()).isEqualTo(1);
  }

  @Test
  void dropsTheArrivingMessageWhenNothingIsReplaceable() throws InterruptedException {
    for (long ticket = 1; ticket <= 4; ticket++) {
      arrive(new ControlMessage.FleetViewRequest(ticket));
    }
    assertThat(takeAll()).hasSize(3).doesNotContain(new ControlMessage.FleetViewRequest(4));
    assertThat(inbox.dropped()).isEqualTo(1);
  }

  @Test
  void inputsOfThisProcessAreNeverDropped() throws InterruptedException {
    for (long ticket = 1; ticket <= 10; ticket++) {
      assertThat(inbox.add(new ControlInput.ChangeAbandoned(ticket))).isTrue();
    }
    assertThat(takeAll()).hasSize(10);
  }

  @Test
  void takesNothingAfterItWasClosed() throws InterruptedException {
    inbox.close();
    arrive(heartbeat(1));
    assertThat(inbox.add(new ControlInput.Tick())).isFalse();
    assertThat(takeAll()).isEmpty();
  }
}
