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

  private void receive(ControlMessage message) {
    inbox.addMessage(new ControlInput.MessageReceived(PEER, message));
  }

  private List<Object> pollAll() throws InterruptedException {
    List<Object> all = new ArrayList<>();
    Optional<ControlTask> next = inbox.poll(0);
    while (next.isPresent()) {
      ControlInput input = ((ControlTask.Input) next.get()).input();
      all.add(input instanceof ControlInput.MessageReceived received ? received.message() : input);
      next = inbox.poll(0);
    }
    return all;
  }

  @Test
  void keepsOrder() throws InterruptedException {
    ControlInput unreachable = new ControlInput.PeerUnreachable(PEER);
    receive(heartbeat(1));
    inbox.add(unreachable);
    receive(heartbeat(2));
    assertThat(pollAll()).containsExactly(heartbeat(1), unreachable, heartbeat(2));
    assertThat(inbox.droppedMessages()).isZero();
  }

  @Test
  void dropsTheOldestReplaceableMessageWhenFull() throws InterruptedException {
    ControlMessage joins = report(1, List.of(JOINING));
    receive(joins);
    receive(heartbeat(1));
    receive(report(2, List.of()));
    receive(new ControlMessage.Detach());
    assertThat(pollAll()).containsExactly(joins, report(2, List.of()), new ControlMessage.Detach());
    assertThat(inbox.droppedMessages()).isEqualTo(1);
  }

  @Test
  void dropsTheArrivingMessageWhenNothingIsReplaceable() throws InterruptedException {
    for (long ticket = 1; ticket <= 4; ticket++) {
      receive(new ControlMessage.FleetViewRequest(ticket));
    }
    assertThat(pollAll()).hasSize(3).doesNotContain(new ControlMessage.FleetViewRequest(4));
    assertThat(inbox.droppedMessages()).isEqualTo(1);
  }

  @Test
  void inputsOfThisProcessAreNeverDropped() throws InterruptedException {
    for (long ticket = 1; ticket <= 10; ticket++) {
      assertThat(inbox.add(new ControlInput.ChangeAbandoned(ticket))).isTrue();
    }
    assertThat(pollAll()).hasSize(10);
  }

  @Test
  void refusesTasksAfterClose() throws InterruptedException {
    inbox.close();
    receive(heartbeat(1));
    assertThat(inbox.add(new ControlInput.Tick())).isFalse();
    assertThat(pollAll()).isEmpty();
  }
}
