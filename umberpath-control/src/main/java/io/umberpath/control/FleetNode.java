package io.umberpath.control;

import io.umberpath.control.ControlMessage.Attach;
import io.umberpath.control.ControlMessage.AttachAccepted;
import io.umberpath.control.ControlMessage.ChangeOutcome;
import io.umberpath.control.ControlMessage.Deliver;
import io.umberpath.control.ControlMessage.Detach;
import io.umberpath.control.ControlMessage.DocumentRequest;
import io.umberpath.control.ControlMessage.DocumentUpdate;
import io.umberpath.control.ControlMessage.FetchState;
import io.umberpath.control.ControlMessage.FetchedState;
import io.umberpath.control.ControlMessage.FleetViewAnswer;
import io.umberpath.control.ControlMessage.FleetViewRequest;
import io.umberpath.control.ControlMessage.ForwardChange;
import io.umberpath.control.ControlMessage.ObservedUpdate;
import io.umberpath.control.ControlMessage.Redirect;
import io.umberpath.control.ControlMessage.Report;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.control.ControlMessage.VoteAnswer;
import io.umberpath.control.ControlMessage.VoteRequest;
import io.umberpath.control.ControlStatus.NodeView;
import io.umberpath.control.ControlStatus.Role;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

/** Wires the parts of one control node together; each part has one job. */
final class FleetNode implements ControlNode {
  private static final int MAX_ADVANCES = 4;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTrack track;
  private final DocumentSpread documents;
  private final Activation activation;
  private final Children children;
  private final Reports reports;
  private final ParentChoice choice;
  private final ParentLink parentLink;
  private final VoteRelay relay;
  private final Formation formation;
  private final Election election;
  private final ChangeDecider decider;
  private final ChangeDesk desk;
  private final Leadership leadership;
  private final PlatformReading reading;
  private final ObservedSpread observed;
  private final FleetViews views;
  private final ReformCalls reformCalls;
  private FleetState lastHeld = FleetState.EMPTY;
  private FleetState lastCommitted = FleetState.EMPTY;
  private boolean revisionTold;

  FleetNode(NodeContext context) {
    this.context = context;
    acceptor = new Acceptor(context);
    track = new LeaderTrack(context);
    documents = new DocumentSpread(context);
    activation = new Activation(context, acceptor, documents);
    children = new Children(context, acceptor, track, documents);
    reports = new Reports(context, acceptor, track, children, activation);
    choice = new ParentChoice(context, acceptor, track);
    parentLink = new ParentLink(context, acceptor, track, choice, documents);
    relay = new VoteRelay(context, acceptor, track, children, documents);
    formation = new Formation(context, acceptor, reports);
    election = new Election(context, acceptor, track, children, relay, choice, documents);
    decider = new ChangeDecider(context, acceptor);
    desk = new ChangeDesk(context, track, acceptor, decider);
    leadership =
        new Leadership(
            context,
            acceptor,
            track,
            children,
            reports,
            decider,
            new ReaderNaming(context),
            documents);
    reading = new PlatformReading(context, acceptor, track);
    observed = new ObservedSpread(context);
    views = new FleetViews(context);
    reformCalls = new ReformCalls(context);
  }

  @Override
  public List<ControlOutput> handle(long nowMillis, ControlInput input) {
    context.begin(nowMillis);
    if (input instanceof ControlInput.MessageReceived received) {
      received(received.from(), received.message());
    } else if (input instanceof ControlInput.PeerUnreachable unreachable) {
      parentLink.lost(unreachable.peer());
      children.remove(unreachable.peer());
    } else if (input instanceof ControlInput.ChangeSubmitted submitted) {
      desk.submit(submitted.ticket(), submitted.change());
    } else if (input instanceof ControlInput.ChangeAbandoned abandoned) {
      desk.abandon(abandoned.ticket());
    } else if (input instanceof ControlInput.DocumentRead read) {
      reading.answered();
      documents.read(read.document());
    } else if (input instanceof ControlInput.DocumentReadFailed) {
      reading.failed();
    } else if (input instanceof ControlInput.BackendObserved backend) {
      observed.observed(backend.backend());
    } else if (input instanceof ControlInput.ReformRequested reform) {
      reform(reform);
    } else if (input instanceof ControlInput.FleetViewRequested request) {
      requestView(request.ticket());
    }
    settle();
    return context.takeOutputs();
  }

  private void received(PeerAddress from, ControlMessage message) {
    if (message instanceof Deliver deliver) {
      delivered(from, deliver);
    } else if (message instanceof Report report) {
      election.seen(report.epoch());
      if (!children.report(from, report)) {
        context.send(from, new Redirect(List.of()));
      }
    } else if (message instanceof Attach attach) {
      attached(from, attach);
    } else if (message instanceof AttachAccepted accepted) {
      accepted(from, accepted);
    } else if (message instanceof Redirect redirect) {
      parentLink.redirected(from, redirect.candidates());
    } else if (message instanceof Detach) {
      children.remove(from);
    } else if (message instanceof ObservedUpdate update) {
      List<ObservedBackend> newer = observed.update(from, update.backends());
      if (!newer.isEmpty()) {
        context.emit(new ControlOutput.ObservedUpdated(newer));
      }
    } else if (message instanceof DocumentUpdate update) {
      documents.update(from, update.change());
    } else if (message instanceof DocumentRequest request) {
      documents.requested(from, request);
    } else if (message instanceof ForwardChange forward) {
      decider.forwarded(forward);
    } else if (message instanceof ChangeOutcome outcome) {
      desk.outcome(outcome);
    } else {
      receivedRare(from, message);
    }
  }

  private void receivedRare(PeerAddress from, ControlMessage message) {
    if (message instanceof VoteRequest request) {
      requestedVote(from, request);
    } else if (message instanceof VoteAnswer answer) {
      documents.voterHolds(from, answer.revision());
      if (answer.candidate().equals(context.address())) {
        election.answer(answer).ifPresent(this::lead);
      } else {
        relay.answer(from, answer);
      }
    } else if (message instanceof FetchState fetch) {
      context.send(from, new FetchedState(fetch.epoch(), acceptor.catchUp(fetch.held())));
    } else if (message instanceof FetchedState fetched) {
      election.fetched(fetched).ifPresent(this::lead);
    } else if (message instanceof FleetViewRequest request && leadership.leads()) {
      context.send(from, new FleetViewAnswer(request.ticket(), nodeViews()));
    } else if (message instanceof FleetViewAnswer answer) {
      views.answered(answer);
    }
  }

  private void delivered(PeerAddress from, Deliver delivery) {
    boolean fromParent = parentLink.isParent(from);
    if (fromParent) {
      parentLink.heardParent();
      reports.due();
    }
    if (delivery.round().epoch() < acceptor.promised()) {
      acceptor.receive(List.of(), delivery.committed());
      return;
    }
    hear(delivery, fromParent);
    acceptor.receive(fromParent ? delivery.deltas() : List.of(), delivery.committed());
    if (fromParent) {
      documents.parentHolds(from, delivery.revision());
      if (!delivery.round().equals(Round.NONE)) {
        revisionTold = DocumentSpread.isNewest(delivery.revision());
      }
    }
  }

  private void hear(Deliver delivery, boolean fromParent) {
    Optional<PeerAddress> before = track.leader();
    Round fedBefore = track.fedRound();
    boolean newer = track.hear(delivery, fromParent);
    if (track.fedRound() != fedBefore) {
      children.deliveryDue();
    }
    if (!newer) {
      return;
    }
    acceptor.hearEpoch(delivery.round().epoch());
    election.quiet();
    reports.due();
    if (!track.leader().equals(before)) {
      parentLink.reconsider();
    } else if (!fromParent) {
      parentLink.announced(delivery.leader());
    }
  }

  private void attached(PeerAddress from, Attach attach) {
    if (children.attach(attach, leadership.leads(), parentLink.parent())) {
      documents.childHolds(from, attach.revision());
      observed.catchUp(from, attach.missedMillis());
    }
  }

  private void accepted(PeerAddress from, AttachAccepted accepted) {
    boolean isNew = !parentLink.isParent(from);
    if (parentLink.accepted(from)) {
      delivered(from, accepted.delivery());
      reports.sendWhole(from);
      if (isNew) {
        observed.catchUp(from, parentLink.missedMillis());
      }
    }
  }

  private void requestedVote(PeerAddress from, VoteRequest request) {
    if (request.binding()) {
      election.seen(request.epoch());
    }
    if (relay.request(from, request, leadership.leads())) {
      election.defer();
    }
    if (!acceptor.isMember() && request.candidate().slot() != Member.NO_SLOT) {
      parentLink.announced(request.candidate().address());
    }
  }

  private void reform(ControlInput.ReformRequested request) {
    if (leadership.leads() || track.heardWithin(context.settings().electionMillis())) {
      reformCalls.refuseBecauseLed(request.ticket());
      return;
    }
    reformCalls.begin(request.ticket());
    election.reform(request.acceptedLoss());
  }

  private void requestView(long ticket) {
    if (leadership.leads()) {
      views.answer(ticket, nodeViews());
    } else if (track.leader().isPresent()) {
      views.request(ticket, track.leader().get());
    } else {
      views.answer(ticket, List.of());
    }
  }

  private List<NodeView> nodeViews() {
    return FleetViews.of(acceptor.committed().roster(), reports.groups());
  }

  private void lead(Election.Victory victory) {
    parentLink.disable();
    election.quiet();
    documents.known(victory.tally().revision());
    leadership.start(victory);
  }

  /** Lets every part act on what changed; what is sent to one peer is sent once. */
  private void settle() {
    boolean joinsChanged = children.takeJoinsChanged();
    if (joinsChanged) {
      reports.joinsChanged();
    }
    if (children.takeChanged()) {
      leadership.collect();
      reports.due();
    }
    if (!acceptor.isMember() && track.isFed()) {
      parentLink.parent().ifPresent(children::dissolve);
    }
    checkTerm();
    if (!leadership.leads()) {
      formation.update(parentLink.parent().isPresent());
      election.tick(formation.isDue());
      election.evaluate().ifPresent(this::lead);
    }
    leadership.tick();
    desk.flush(leadership.leads(), leadership.epoch());
    advance();
    reformCalls.check(leadership, election, acceptor.committed().version());
    spread();
  }

  private void checkTerm() {
    if (!leadership.leads()) {
      return;
    }
    String cause = leadership.lostCause();
    if (cause.isEmpty()) {
      return;
    }
    boolean otherLeader = track.round().epoch() > leadership.epoch();
    boolean otherCandidate = acceptor.promised() > leadership.epoch();
    boolean higherEpoch = reports.epoch() > leadership.epoch();
    leadership.stepDown(cause);
    parentLink.enable();
    election.seen(reports.epoch());
    election.abandon();
    if (higherEpoch && !otherLeader && !otherCandidate) {
      election.standAgain();
    }
  }

  private void advance() {
    for (int count = 0; count < MAX_ADVANCES; count++) {
      Version before = acceptor.held().version();
      leadership.advance();
      noticeProgress();
      if (before.equals(acceptor.held().version())) {
        return;
      }
    }
  }

  private void noticeProgress() {
    if (acceptor.held() != lastHeld) {
      lastHeld = acceptor.held();
      children.deliveryDue();
      reports.due();
    }
    if (acceptor.committed() != lastCommitted) {
      boolean sameRoster = acceptor.committed().roster().equals(lastCommitted.roster());
      lastCommitted = acceptor.committed();
      children.deliveryDue();
      if (!sameRoster) {
        parentLink.reconsider();
        reports.joinsChanged();
      }
    }
  }

  private void spread() {
    boolean newDocument = documents.flush(parentLink.parent(), children.addresses());
    if (isRevisionLearnt()) {
      activation.revisionKnown();
    }
    if (activation.advance() || newDocument) {
      reports.due();
    }
    observed.flush(parentLink.parent(), children.addresses());
    relay.flush();
    reading.tick();
    parentLink.tick();
    views.tick();
    children.keepAlive();
    children.flush();
    if (leadership.leads() || parentLink.parent().isEmpty()) {
      reports.cancel();
    } else {
      reports.flush(parentLink.parent().get());
    }
  }

  private boolean isRevisionLearnt() {
    if (activation.isRevisionKnown() || !documents.isNewestKnown()) {
      return false;
    }
    if (leadership.leads()) {
      return leadership.isSettled()
          && reports.groups().stream().allMatch(group -> group.revision() <= documents.revision());
    }
    return revisionTold;
  }

  @Override
  public long nextWakeMillis() {
    long next =
        LongStream.of(
                leadership.nextAt(),
                desk.nextAt(leadership.leads()),
                parentLink.nextAt(),
                reports.nextAt(),
                relay.nextAt(),
                reading.nextAt(),
                observed.nextAt(),
                views.nextAt(),
                children.nextKeepAlive())
            .min()
            .getAsLong();
    if (leadership.leads()) {
      return next;
    }
    next = Math.min(next, formation.nextAt());
    return Math.min(next, election.nextAt(formation.isDue()));
  }

  @Override
  public ControlStatus status() {
    Role role = role();
    Optional<Member> leader =
        role == Role.LEADER
            ? Optional.of(acceptor.self())
            : track.leader().flatMap(acceptor.committed().roster()::at);
    return new ControlStatus(
        acceptor.self(),
        role,
        acceptor.promised(),
        leader,
        parentLink.parent().flatMap(acceptor.committed().roster()::at),
        children.size(),
        acceptor.committed(),
        acceptor.held().version(),
        activation.version(),
        activation.revision(),
        documents.current(),
        reading.isReader(),
        activation.violations(),
        role == Role.LEADER ? nodeViews() : List.of());
  }

  private Role role() {
    if (leadership.leads()) {
      return Role.LEADER;
    }
    if (!acceptor.isMember()) {
      return Role.JOINING;
    }
    return election.isCandidate() ? Role.CANDIDATE : Role.FOLLOWER;
  }
}
