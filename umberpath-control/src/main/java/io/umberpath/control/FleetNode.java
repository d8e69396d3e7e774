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

/** Connects the components of one control node, each of which has a single responsibility. */
final class FleetNode implements ControlNode {
  private static final int MAX_ADVANCES = 4;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;
  private final DocumentDistributor documents;
  private final Activation activation;
  private final Children children;
  private final SubtreeReporter reports;
  private final ParentSelector parentSelector;
  private final ParentLink parentLink;
  private final VoteRelay voteRelay;
  private final Formation formation;
  private final Election election;
  private final ChangeDecider decider;
  private final SubmittedChanges submittedChanges;
  private final Leadership leadership;
  private final PlatformPoller platformPoller;
  private final ObservationDistributor observations;
  private final FleetViewRequests viewRequests;
  private final ReformRequests reformRequests;
  private FleetState lastHeld = FleetState.EMPTY;
  private FleetState lastCommitted = FleetState.EMPTY;
  private boolean isRevisionConfirmed;

  FleetNode(NodeContext context) {
    this.context = context;
    acceptor = new Acceptor(context);
    leaderTracker = new LeaderTracker(context);
    documents = new DocumentDistributor(context);
    activation = new Activation(context, acceptor, documents);
    children = new Children(context, acceptor, leaderTracker, documents);
    reports = new SubtreeReporter(context, acceptor, leaderTracker, children, activation);
    parentSelector = new ParentSelector(context, acceptor, leaderTracker);
    parentLink = new ParentLink(context, acceptor, leaderTracker, parentSelector, documents);
    voteRelay = new VoteRelay(context, acceptor, leaderTracker, children, documents);
    formation = new Formation(context, acceptor, reports);
    election =
        new Election(
            context, acceptor, leaderTracker, children, voteRelay, parentSelector, documents);
    decider = new ChangeDecider(context, acceptor);
    submittedChanges = new SubmittedChanges(context, leaderTracker, acceptor, decider);
    leadership =
        new Leadership(
            context,
            acceptor,
            leaderTracker,
            children,
            reports,
            decider,
            new ReaderAssignment(context),
            documents);
    platformPoller = new PlatformPoller(context, acceptor, leaderTracker);
    observations = new ObservationDistributor(context);
    viewRequests = new FleetViewRequests(context);
    reformRequests = new ReformRequests(context);
  }

  @Override
  public List<ControlOutput> handle(long nowMillis, ControlInput input) {
    context.begin(nowMillis);
    if (input instanceof ControlInput.MessageReceived received) {
      onMessage(received.from(), received.message());
    } else if (input instanceof ControlInput.PeerUnreachable unreachable) {
      parentLink.onLost(unreachable.peer());
      children.remove(unreachable.peer());
    } else if (input instanceof ControlInput.ChangeSubmitted submitted) {
      submittedChanges.submit(submitted.ticket(), submitted.change());
    } else if (input instanceof ControlInput.ChangeAbandoned abandoned) {
      submittedChanges.abandon(abandoned.ticket());
    } else if (input instanceof ControlInput.DocumentRead read) {
      platformPoller.onResponse();
      documents.onRead(read.document());
    } else if (input instanceof ControlInput.DocumentReadFailed) {
      platformPoller.onFailure();
    } else if (input instanceof ControlInput.BackendObserved backend) {
      observations.onLocalChange(backend.backend());
    } else if (input instanceof ControlInput.ReformRequested reform) {
      reform(reform);
    } else if (input instanceof ControlInput.FleetViewRequested request) {
      requestView(request.ticket());
    }
    runUpdates();
    return context.takeOutputs();
  }

  private void onMessage(PeerAddress from, ControlMessage message) {
    if (message instanceof Deliver deliver) {
      onDelivery(from, deliver);
    } else if (message instanceof Report report) {
      election.observeEpoch(report.epoch());
      if (!children.onReport(from, report)) {
        context.send(from, new Redirect(List.of()));
      }
    } else if (message instanceof Attach attach) {
      onAttach(from, attach);
    } else if (message instanceof AttachAccepted accepted) {
      onAttachAccepted(from, accepted);
    } else if (message instanceof Redirect redirect) {
      parentLink.onRedirect(from, redirect.candidates());
    } else if (message instanceof Detach) {
      children.remove(from);
    } else if (message instanceof ObservedUpdate update) {
      List<ObservedBackend> newer = observations.onUpdate(from, update.backends());
      if (!newer.isEmpty()) {
        context.emit(new ControlOutput.ObservedUpdated(newer));
      }
    } else if (message instanceof DocumentUpdate update) {
      documents.onUpdate(from, update.change());
    } else if (message instanceof DocumentRequest request) {
      documents.onRequest(from, request);
    } else if (message instanceof ForwardChange forward) {
      decider.onForward(forward);
    } else if (message instanceof ChangeOutcome outcome) {
      submittedChanges.onOutcome(outcome);
    } else {
      onRareMessage(from, message);
    }
  }

  private void onRareMessage(PeerAddress from, ControlMessage message) {
    if (message instanceof VoteRequest request) {
      onVoteRequest(from, request);
    } else if (message instanceof VoteAnswer answer) {
      documents.onVoterRevision(from, answer.revision());
      if (answer.candidate().equals(context.address())) {
        election.onVoteAnswer(answer).ifPresent(this::startLeading);
      } else {
        voteRelay.onResponse(from, answer);
      }
    } else if (message instanceof FetchState fetch) {
      context.send(from, new FetchedState(fetch.epoch(), acceptor.catchUpDeltas(fetch.held())));
    } else if (message instanceof FetchedState fetched) {
      election.onFetchedState(fetched).ifPresent(this::startLeading);
    } else if (message instanceof FleetViewRequest request && leadership.isLeader()) {
      context.send(from, new FleetViewAnswer(request.ticket(), nodeViews()));
    } else if (message instanceof FleetViewAnswer answer) {
      viewRequests.onResponse(answer);
    }
  }

  private void onDelivery(PeerAddress from, Deliver delivery) {
    boolean fromParent = parentLink.isParent(from);
    if (fromParent) {
      parentLink.recordParentMessage();
      reports.schedule();
    }
    if (delivery.round().epoch() < acceptor.promised()) {
      acceptor.receive(List.of(), delivery.committed());
      return;
    }
    recordRound(delivery, fromParent);
    acceptor.receive(fromParent ? delivery.deltas() : List.of(), delivery.committed());
    if (fromParent) {
      documents.onParentRevision(from, delivery.revision());
      if (!delivery.round().equals(Round.NONE)) {
        isRevisionConfirmed = DocumentDistributor.isNewest(delivery.revision());
      }
    }
  }

  private void recordRound(Deliver delivery, boolean fromParent) {
    Optional<PeerAddress> before = leaderTracker.leader();
    Round deliveredBefore = leaderTracker.deliveredRound();
    boolean newer = leaderTracker.recordRound(delivery, fromParent);
    if (leaderTracker.deliveredRound() != deliveredBefore) {
      children.scheduleDelivery();
    }
    if (!newer) {
      return;
    }
    acceptor.observeEpoch(delivery.round().epoch());
    election.stop();
    reports.schedule();
    if (!leaderTracker.leader().equals(before)) {
      parentLink.reconsider();
    } else if (!fromParent) {
      parentLink.onAnnouncement(delivery.leader());
    }
  }

  private void onAttach(PeerAddress from, Attach attach) {
    if (children.attach(attach, leadership.isLeader(), parentLink.parent())) {
      documents.onChildRevision(from, attach.revision());
      observations.sendMissed(from, attach.missedMillis());
    }
  }

  private void onAttachAccepted(PeerAddress from, AttachAccepted accepted) {
    boolean isNew = !parentLink.isParent(from);
    if (parentLink.onAccepted(from)) {
      onDelivery(from, accepted.delivery());
      reports.sendComplete(from);
      if (isNew) {
        observations.sendMissed(from, parentLink.missedMillis());
      }
    }
  }

  private void onVoteRequest(PeerAddress from, VoteRequest request) {
    if (request.binding()) {
      election.observeEpoch(request.epoch());
    }
    if (voteRelay.onRequest(from, request, leadership.isLeader())) {
      election.defer();
    }
    if (!acceptor.isMember() && request.candidate().slot() != Member.NO_SLOT) {
      parentLink.onAnnouncement(request.candidate().address());
    }
  }

  private void reform(ControlInput.ReformRequested request) {
    if (leadership.isLeader() || leaderTracker.isHeardWithin(context.settings().electionMillis())) {
      reformRequests.refuseWithLeader(request.ticket());
      return;
    }
    reformRequests.begin(request.ticket());
    election.reform(request.acceptedLoss());
  }

  private void requestView(long ticket) {
    if (leadership.isLeader()) {
      viewRequests.respond(ticket, nodeViews());
    } else if (leaderTracker.leader().isPresent()) {
      viewRequests.request(ticket, leaderTracker.leader().get());
    } else {
      viewRequests.respond(ticket, List.of());
    }
  }

  private List<NodeView> nodeViews() {
    return FleetViewRequests.lazyViews(acceptor.committed().roster(), reports.groups());
  }

  private void startLeading(Election.Victory victory) {
    parentLink.disable();
    election.stop();
    documents.recordKnownRevision(victory.tally().revision());
    leadership.start(victory);
  }

  /** Lets every component react to the input; each peer gets at most one message of a kind. */
  private void runUpdates() {
    boolean joinsChanged = children.takeJoinsChanged();
    if (joinsChanged) {
      reports.onJoinsChanged();
    }
    if (children.takeChanged()) {
      leadership.collectReports();
      reports.schedule();
    }
    if (!acceptor.isMember() && leaderTracker.isDeliveryCurrent()) {
      parentLink.parent().ifPresent(children::redirectAll);
    }
    checkTerm();
    if (!leadership.isLeader()) {
      formation.update(parentLink.parent().isPresent());
      election.tick(formation.isDue());
      election.evaluate().ifPresent(this::startLeading);
    }
    leadership.tick();
    submittedChanges.flush(leadership.isLeader(), leadership.epoch());
    advance();
    reformRequests.check(leadership, election, acceptor.committed().version());
    distribute();
  }

  private void checkTerm() {
    if (!leadership.isLeader()) {
      return;
    }
    String cause = leadership.stepDownCause();
    if (cause.isEmpty()) {
      return;
    }
    boolean otherLeader = leaderTracker.round().epoch() > leadership.epoch();
    boolean otherCandidate = acceptor.promised() > leadership.epoch();
    boolean higherEpoch = reports.epoch() > leadership.epoch();
    leadership.stepDown(cause);
    parentLink.enable();
    election.observeEpoch(reports.epoch());
    election.abandon();
    if (higherEpoch && !otherLeader && !otherCandidate) {
      election.restart();
    }
  }

  private void advance() {
    for (int count = 0; count < MAX_ADVANCES; count++) {
      Version before = acceptor.held().version();
      leadership.advance();
      detectProgress();
      if (before.equals(acceptor.held().version())) {
        return;
      }
    }
  }

  private void detectProgress() {
    if (acceptor.held() != lastHeld) {
      lastHeld = acceptor.held();
      children.scheduleDelivery();
      reports.schedule();
    }
    if (acceptor.committed() != lastCommitted) {
      boolean sameRoster = acceptor.committed().roster().equals(lastCommitted.roster());
      lastCommitted = acceptor.committed();
      children.scheduleDelivery();
      if (!sameRoster) {
        parentLink.reconsider();
        reports.onJoinsChanged();
      }
    }
  }

  private void distribute() {
    boolean newDocument = documents.flush(parentLink.parent(), children.addresses());
    if (isNewestRevisionHeld()) {
      activation.markRevisionKnown();
    }
    if (activation.advance() || newDocument) {
      reports.schedule();
    }
    observations.flush(parentLink.parent(), children.addresses());
    voteRelay.flush();
    platformPoller.tick();
    parentLink.tick();
    viewRequests.tick();
    children.keepAlive();
    children.flush();
    if (leadership.isLeader() || parentLink.parent().isEmpty()) {
      reports.cancel();
    } else {
      reports.flush(parentLink.parent().get());
    }
  }

  private boolean isNewestRevisionHeld() {
    if (activation.isRevisionKnown() || !documents.isNewestKnown()) {
      return false;
    }
    if (leadership.isLeader()) {
      return leadership.hasCommitted()
          && reports.groups().stream().allMatch(group -> group.revision() <= documents.revision());
    }
    return isRevisionConfirmed;
  }

  @Override
  public long nextWakeMillis() {
    long next =
        LongStream.of(
                leadership.nextAt(),
                submittedChanges.nextAt(leadership.isLeader()),
                parentLink.nextAt(),
                reports.nextAt(),
                voteRelay.nextAt(),
                platformPoller.nextAt(),
                observations.nextAt(),
                viewRequests.nextAt(),
                children.nextKeepAlive())
            .min()
            .getAsLong();
    if (leadership.isLeader()) {
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
            : leaderTracker.leader().flatMap(acceptor.committed().roster()::at);
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
        platformPoller.isReader(),
        activation.violations(),
        role == Role.LEADER ? nodeViews() : List.of());
  }

  private Role role() {
    if (leadership.isLeader()) {
      return Role.LEADER;
    }
    if (!acceptor.isMember()) {
      return Role.JOINING;
    }
    return election.isCandidate() ? Role.CANDIDATE : Role.FOLLOWER;
  }
}
