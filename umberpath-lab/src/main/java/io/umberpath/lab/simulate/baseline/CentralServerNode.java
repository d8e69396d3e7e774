package io.umberpath.lab.simulate.baseline;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlNode;
import io.umberpath.control.ControlOutput;
import io.umberpath.control.ControlSettings;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.FleetState;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.ReferenceCheck;
import io.umberpath.model.StateDelta;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.StateHasher;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Delivery from one fixed server, the first seed, which orders all changes by itself. With push it
 * sends the full snapshot to every client at each change, otherwise clients poll. Clients that have
 * nothing yet ask for it.
 */
public final class CentralServerNode implements ControlNode {
  private final ControlSettings settings;
  private final boolean pushes;
  private final boolean server;
  private final Set<PeerAddress> clients = new LinkedHashSet<>();
  private final List<ControlOutput> outputs = new ArrayList<>();
  private FleetState state = FleetState.EMPTY;
  private PlatformDocument document = PlatformDocument.NONE;
  private ProxySnapshot active = ProxySnapshot.EMPTY;
  private ControlMessage encodedState;
  private ControlMessage encodedDocument;
  private long nextTurnMillis;
  private long batchDueMillis = Long.MAX_VALUE;
  private ControlStatus status;

  /**
   * Creates one node.
   *
   * @param pushes whether the server pushes; clients poll each {@code readMillis} otherwise
   */
  public CentralServerNode(ControlSettings settings, boolean pushes) {
    this.settings = settings;
    this.pushes = pushes;
    this.server = settings.self().address().equals(settings.seeds().get(0));
    refreshStatus();
  }

  @Override
  public List<ControlOutput> handle(long nowMillis, ControlInput input) {
    outputs.clear();
    if (input instanceof ControlInput.Tick) {
      tick(nowMillis);
    } else if (input instanceof ControlInput.MessageReceived received) {
      receive(nowMillis, received.from(), received.message());
    } else if (input instanceof ControlInput.ChangeSubmitted submitted) {
      submit(nowMillis, submitted.ticket(), submitted.change());
    } else if (input instanceof ControlInput.ChangeAbandoned abandoned) {
      ChangeResult unknown = new ChangeResult.Unknown("no answer");
      outputs.add(new ControlOutput.ChangeAnswered(abandoned.ticket(), unknown));
    } else if (input instanceof ControlInput.DocumentRead read
        && read.document().revision() > document.revision()) {
      document = read.document();
      changed(nowMillis);
    }
    refreshStatus();
    return List.copyOf(outputs);
  }

  private void tick(long nowMillis) {
    if (nowMillis >= nextTurnMillis) {
      nextTurnMillis = nowMillis + settings.readMillis();
      if (server) {
        outputs.add(new ControlOutput.ReadPlatform());
      } else if (!pushes || document.revision() == 0) {
        poll();
      }
    }
    if (nowMillis >= batchDueMillis) {
      batchDueMillis = Long.MAX_VALUE;
      clients.forEach(this::sendSnapshot);
    }
  }

  private void poll() {
    send(server(), BaselineMessages.poll(settings.self(), state, document));
  }

  private PeerAddress server() {
    return settings.seeds().get(0);
  }

  private void send(PeerAddress to, ControlMessage message) {
    outputs.add(new ControlOutput.Send(to, message));
  }

  private void sendSnapshot(PeerAddress client) {
    if (encodedState == null) {
      encodedState = BaselineMessages.state(settings.self(), state, document);
      encodedDocument = BaselineMessages.document(document);
    }
    send(client, encodedDocument);
    send(client, encodedState);
  }

  private void receive(long nowMillis, PeerAddress from, ControlMessage message) {
    if (message instanceof ControlMessage.Attach poll) {
      answerPoll(from, poll);
    } else if (message instanceof ControlMessage.DocumentUpdate update) {
      adopt(BaselineMessages.documentOf(update.change()));
    } else if (message instanceof ControlMessage.Deliver delivery) {
      adopt(delivery.deltas().get(0));
    } else if (message instanceof ControlMessage.ForwardChange forward) {
      ChangeResult result = order(nowMillis, forward.change());
      long incarnation = forward.origin().incarnation();
      send(from, new ControlMessage.ChangeOutcome(1, incarnation, forward.number(), result));
    } else if (message instanceof ControlMessage.ChangeOutcome outcome) {
      outputs.add(new ControlOutput.ChangeAnswered(outcome.number(), outcome.result()));
    }
  }

  private void answerPoll(PeerAddress from, ControlMessage.Attach poll) {
    clients.add(from);
    if (poll.held().equals(state.version()) && poll.revision() == document.revision()) {
      send(from, BaselineMessages.unchanged());
    } else {
      sendSnapshot(from);
    }
  }

  private void submit(long nowMillis, long ticket, ChangeSet change) {
    if (server) {
      outputs.add(new ControlOutput.ChangeAnswered(ticket, order(nowMillis, change)));
    } else {
      send(server(), new ControlMessage.ForwardChange(1, settings.self(), ticket, 0, change));
    }
  }

  private ChangeResult order(long nowMillis, ChangeSet change) {
    Version version = state.version().next(1);
    String key = StateDeltas.answerKey(change.tenant(), change.requestId());
    FleetState.AnsweredChange entry =
        new FleetState.AnsweredChange(StateHasher.fingerprint(change), version);
    Optional<FleetState.AnsweredChange> before = state.answered().get(key).toJavaOptional();
    if (before.isPresent()) {
      return before.get().changeHash() == entry.changeHash()
          ? new ChangeResult.Accepted(before.get().version())
          : new ChangeResult.Refused(ChangeResult.RefusalCode.REQUEST_ID_REUSED, List.of());
    }
    FleetState next =
        StateDeltas.produce(
            new StateDelta(
                state.version(),
                state.contentHash(),
                version,
                0,
                change.upserts(),
                change.deletes(),
                change.drains(),
                List.of(),
                List.of(),
                StateDelta.RosterBasis.SETTLED,
                Optional.empty(),
                List.of(new StateDelta.Answer(key, entry)),
                List.of(),
                state.nextSlot()),
            state);
    if (!ReferenceCheck.violations(next).isEmpty()) {
      return new ChangeResult.Refused(
          ChangeResult.RefusalCode.INVALID, ReferenceCheck.violations(next));
    }
    state = next;
    changed(nowMillis);
    return new ChangeResult.Accepted(version);
  }

  private void changed(long nowMillis) {
    encodedState = null;
    activate();
    if (pushes) {
      batchDueMillis = Math.min(batchDueMillis, nowMillis + settings.batchWindowMillis());
    }
  }

  private void adopt(StateDelta whole) {
    if (whole.target().isAfter(state.version())) {
      state = whole.applyTo(FleetState.EMPTY).getOrElse(state);
      activate();
    }
  }

  private void adopt(PlatformDocument newer) {
    if (newer.revision() > document.revision()) {
      document = newer;
      activate();
    }
  }

  private void activate() {
    ProxySnapshot.compose(state, document)
        .peek(
            snapshot -> {
              active = snapshot;
              outputs.add(new ControlOutput.Activate(snapshot));
            });
  }

  @Override
  public long nextWakeMillis() {
    return Math.min(nextTurnMillis, batchDueMillis);
  }

  @Override
  public ControlStatus status() {
    return status;
  }

  private void refreshStatus() {
    status =
        new ControlStatus(
            settings.self(),
            server ? ControlStatus.Role.LEADER : ControlStatus.Role.FOLLOWER,
            1,
            Optional.empty(),
            Optional.empty(),
            clients.size(),
            state,
            state.version(),
            active.version(),
            active.revision(),
            document,
            server,
            List.of(),
            List.of());
  }
}
