package io.umberpath.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.StateDelta;
import io.umberpath.model.Version;
import java.util.List;

/**
 * A message between the control nodes of two processes. Any message may be lost, delayed,
 * duplicated or sent by an earlier incarnation; none relies on an earlier one having arrived.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlMessage.Attach.class, name = "at"),
  @JsonSubTypes.Type(value = ControlMessage.AttachAccepted.class, name = "aa"),
  @JsonSubTypes.Type(value = ControlMessage.Redirect.class, name = "rd"),
  @JsonSubTypes.Type(value = ControlMessage.Detach.class, name = "dt"),
  @JsonSubTypes.Type(value = ControlMessage.Deliver.class, name = "d"),
  @JsonSubTypes.Type(value = ControlMessage.Report.class, name = "r"),
  @JsonSubTypes.Type(value = ControlMessage.VoteRequest.class, name = "vq"),
  @JsonSubTypes.Type(value = ControlMessage.VoteAnswer.class, name = "va"),
  @JsonSubTypes.Type(value = ControlMessage.FetchState.class, name = "fs"),
  @JsonSubTypes.Type(value = ControlMessage.FetchedState.class, name = "ft"),
  @JsonSubTypes.Type(value = ControlMessage.ForwardChange.class, name = "fc"),
  @JsonSubTypes.Type(value = ControlMessage.ChangeOutcome.class, name = "co"),
  @JsonSubTypes.Type(value = ControlMessage.DocumentUpdate.class, name = "du"),
  @JsonSubTypes.Type(value = ControlMessage.DocumentRequest.class, name = "dq"),
  @JsonSubTypes.Type(value = ControlMessage.ObservedUpdate.class, name = "o"),
  @JsonSubTypes.Type(value = ControlMessage.FleetViewRequest.class, name = "wq"),
  @JsonSubTypes.Type(value = ControlMessage.FleetViewAnswer.class, name = "wa")
})
public sealed interface ControlMessage {
  /**
   * Requests to become a child of the receiver.
   *
   * @param member the sender, with its slot if it has one
   * @param held version of the newest state it holds
   * @param revision platform revision it holds
   * @param epoch highest epoch it promised
   * @param round newest heartbeat round it received
   * @param equalSuffices whether a parent with the same round suffices; otherwise it must have
   *     received a newer round
   * @param missedMillis how long it has not received observed state from a parent; -1 if it never
   *     has
   */
  record Attach(
      @JsonProperty("m") Member member,
      @JsonProperty("h") Version held,
      @JsonProperty("v") long revision,
      @JsonProperty("e") long epoch,
      @JsonProperty("n") Round round,
      @JsonProperty("o") boolean equalSuffices,
      @JsonProperty("t") long missedMillis)
      implements ControlMessage {}

  /**
   * The receiver is now a child of the sender and must send a complete report. Also sent to a child
   * whose last report is based on one that did not arrive.
   *
   * @param delivery the states that the child lacks
   */
  record AttachAccepted(@JsonProperty("d") Deliver delivery) implements ControlMessage {}

  /**
   * The sender does not accept the receiver as a child.
   *
   * @param candidates other nodes to try; empty if the sender knows none
   */
  record Redirect(@JsonProperty("c") List<PeerAddress> candidates) implements ControlMessage {
    /** Copies the list. */
    public Redirect {
      candidates = candidates == null ? List.of() : List.copyOf(candidates);
    }
  }

  /** The sender is not, or is no longer, a child of the receiver. */
  record Detach() implements ControlMessage {}

  /**
   * A heartbeat round, ordered by epoch, then by number.
   *
   * @param epoch epoch of the leader
   * @param number increases with each heartbeat of that leader
   */
  record Round(@JsonProperty("e") long epoch, @JsonProperty("n") long number) {
    /** The value before the first round. */
    public static final Round NONE = new Round(0, 0);

    /** Whether this round is strictly newer. */
    public boolean newerThan(Round other) {
      return epoch != other.epoch ? epoch > other.epoch : number > other.number;
    }
  }

  /**
   * From parent to child: heartbeat, commit notification and states. A new leader also sends it to
   * nodes that are not its children to announce itself.
   *
   * @param round newest heartbeat round
   * @param leader the leader of that round
   * @param leaderSlot slot of the leader
   * @param committed newest version known to be committed
   * @param revision platform revision that the sender holds, or its bitwise complement while the
   *     sender knows of a newer one that it lacks
   * @param deltas states the receiver lacks, each applying to the one before
   * @param readers slots that may read the platform while they receive this leader's heartbeats
   */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  record Deliver(
      @JsonProperty("n") Round round,
      @JsonProperty("l") PeerAddress leader,
      @JsonProperty("s") int leaderSlot,
      @JsonProperty("c") Version committed,
      @JsonProperty("v") long revision,
      @JsonProperty("d") List<StateDelta> deltas,
      @JsonProperty("r") List<Integer> readers)
      implements ControlMessage {
    /** Copies the lists. */
    public Deliver {
      deltas = deltas == null ? List.of() : List.copyOf(deltas);
      readers = readers == null ? List.of() : List.copyOf(readers);
    }
  }

  /**
   * From child to parent: everything known about the child's subtree; replaces its previous report.
   * A parent that lacks the report on which a new one is based responds with {@link
   * AttachAccepted}.
   *
   * @param incarnation incarnation of the sender
   * @param number increases with each report of the sender
   * @param epoch highest epoch promised in the subtree
   * @param round newest heartbeat round the sender received
   * @param groups members grouped by the versions they hold and run; see {@link ReportGroup} for
   *     what is omitted
   * @param joins processes waiting to become members
   * @param joinsKept whether {@code joins} is omitted because it is unchanged since the previous
   *     report
   * @param wholeStateWanted whether the sender rejected a delta and needs the full state
   */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  record Report(
      @JsonProperty("b") long incarnation,
      @JsonProperty("i") long number,
      @JsonProperty("e") long epoch,
      @JsonProperty("n") Round round,
      @JsonProperty("g") List<ReportGroup> groups,
      @JsonProperty("j") List<Member> joins,
      @JsonProperty("q") boolean joinsKept,
      @JsonProperty("w") boolean wholeStateWanted)
      implements ControlMessage {
    /** Copies the lists. */
    public Report {
      groups = groups == null ? List.of() : List.copyOf(groups);
      joins = joins == null ? List.of() : List.copyOf(joins);
    }
  }

  /**
   * Members that hold and run the same versions.
   *
   * @param held version of the newest state they hold
   * @param active agreed version they run
   * @param revision platform revision they run
   * @param slots the members; empty, in at most one group, for all slots of the sender's report
   *     with the preceding number that no other group contains
   */
  record ReportGroup(
      @JsonProperty("h") Version held,
      @JsonProperty("a") Version active,
      @JsonProperty("v") long revision,
      @JsonProperty("s") SlotSet slots) {}

  /**
   * A candidate requests votes from the receiver and its subtree.
   *
   * @param binding whether a vote is a promise; otherwise it is a pre-vote
   * @param epoch epoch that the candidate wants to lead
   * @param candidate the candidate
   * @param attempt distinguishes successive requests for one epoch
   */
  record VoteRequest(
      @JsonProperty("b") boolean binding,
      @JsonProperty("e") long epoch,
      @JsonProperty("c") Member candidate,
      @JsonProperty("a") int attempt)
      implements ControlMessage {}

  /**
   * Votes of a subtree; replaces the sender's previous response to the same request.
   *
   * @param binding as in the request
   * @param epoch as in the request
   * @param candidate address of the candidate, as in the request
   * @param attempt as in the request
   * @param promised highest epoch promised in the subtree; above {@code epoch} for a refusal
   * @param revision highest platform revision held in the subtree
   * @param committed newest version known to be committed in the subtree
   * @param groups members that granted their vote, by the state they hold
   * @param fresh processes without a slot that granted their vote
   */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  record VoteAnswer(
      @JsonProperty("b") boolean binding,
      @JsonProperty("e") long epoch,
      @JsonProperty("c") PeerAddress candidate,
      @JsonProperty("a") int attempt,
      @JsonProperty("p") long promised,
      @JsonProperty("v") long revision,
      @JsonProperty("m") Version committed,
      @JsonProperty("g") List<HeldGroup> groups,
      @JsonProperty("f") List<Member> fresh)
      implements ControlMessage {
    /** Copies the lists. */
    public VoteAnswer {
      groups = groups == null ? List.of() : List.copyOf(groups);
      fresh = fresh == null ? List.of() : List.copyOf(fresh);
    }
  }

  /**
   * Members that hold the same state.
   *
   * @param held the state's version
   * @param holder a node from which the state can be fetched
   * @param slots the members
   */
  record HeldGroup(
      @JsonProperty("h") Version held,
      @JsonProperty("o") PeerAddress holder,
      @JsonProperty("s") SlotSet slots) {}

  /**
   * A candidate requests the state that a holder reported with its vote.
   *
   * @param epoch the candidate's epoch
   * @param wanted the requested version
   * @param held version that the candidate holds
   */
  record FetchState(
      @JsonProperty("e") long epoch,
      @JsonProperty("w") Version wanted,
      @JsonProperty("h") Version held)
      implements ControlMessage {}

  /**
   * Response to {@link FetchState}.
   *
   * @param epoch epoch of the request
   * @param deltas deltas that lead to the holder's state
   */
  record FetchedState(@JsonProperty("e") long epoch, @JsonProperty("d") List<StateDelta> deltas)
      implements ControlMessage {
    /** Copies the list. */
    public FetchedState {
      deltas = deltas == null ? List.of() : List.copyOf(deltas);
    }
  }

  /**
   * An operator's change forwarded to the leader.
   *
   * @param epoch epoch of the leader it is addressed to; any other leader ignores it
   * @param origin the node that responds to the operator
   * @param number number that the origin assigned to the change, the same in retries
   * @param lowestOpen lowest number that the origin still waits for; changes with lower numbers are
   *     never applied
   * @param change the change
   */
  record ForwardChange(
      @JsonProperty("e") long epoch,
      @JsonProperty("o") Member origin,
      @JsonProperty("n") long number,
      @JsonProperty("l") long lowestOpen,
      @JsonProperty("c") ChangeSet change)
      implements ControlMessage {}

  /**
   * The leader's response to {@link ForwardChange}.
   *
   * @param epoch the leader's epoch
   * @param incarnation incarnation of the origin
   * @param number as in the request
   * @param result the result of the change
   */
  record ChangeOutcome(
      @JsonProperty("e") long epoch,
      @JsonProperty("i") long incarnation,
      @JsonProperty("n") long number,
      @JsonProperty("r") ChangeResult result)
      implements ControlMessage {}

  /**
   * A newer revision of the platform document, complete or as a delta.
   *
   * @param change the delta, or the complete document as a delta from the empty one
   */
  record DocumentUpdate(@JsonProperty("c") DocumentDelta change) implements ControlMessage {}

  /**
   * Requests the document from a neighbour.
   *
   * @param revision revision that the sender holds; 0 requests the complete document
   */
  record DocumentRequest(@JsonProperty("v") long revision) implements ControlMessage {}

  /**
   * The delta between two revisions of the platform document.
   *
   * @param base revision it applies to; 0 for a complete document
   * @param baseHash hash of the base's content
   * @param revision revision it leads to
   * @param hash hash of the content it leads to
   * @param removedServices services that were removed
   * @param services services that changed
   * @param removedMachines machines that were removed
   * @param machines machines that are new or changed
   */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  record DocumentDelta(
      @JsonProperty("b") long base,
      @JsonProperty("g") long baseHash,
      @JsonProperty("v") long revision,
      @JsonProperty("h") long hash,
      @JsonProperty("x") List<String> removedServices,
      @JsonProperty("s") List<ServiceChange> services,
      @JsonProperty("y") List<PeerAddress> removedMachines,
      @JsonProperty("m") List<PlatformDocument.Machine> machines) {
    /** Copies the lists. */
    public DocumentDelta {
      removedServices = removedServices == null ? List.of() : List.copyOf(removedServices);
      services = services == null ? List.of() : List.copyOf(services);
      removedMachines = removedMachines == null ? List.of() : List.copyOf(removedMachines);
      machines = machines == null ? List.of() : List.copyOf(machines);
    }
  }

  /**
   * Changed backends of one service.
   *
   * @param name the service
   * @param removed ids of backends that were removed
   * @param changed backends that are new or changed
   */
  record ServiceChange(
      @JsonProperty("n") String name,
      @JsonProperty("x") List<String> removed,
      @JsonProperty("c") List<PlatformDocument.BackendAddress> changed) {}

  /** Newer observations of backends. */
  record ObservedUpdate(@JsonProperty("b") List<ObservedBackend> backends)
      implements ControlMessage {
    /** Copies the list. */
    public ObservedUpdate {
      backends = backends == null ? List.of() : List.copyOf(backends);
    }
  }

  /** Requests the leader's per-member view. */
  record FleetViewRequest(@JsonProperty("t") long ticket) implements ControlMessage {}

  /** Response to {@link FleetViewRequest}. */
  record FleetViewAnswer(
      @JsonProperty("t") long ticket, @JsonProperty("n") List<ControlStatus.NodeView> nodes)
      implements ControlMessage {
    /** Copies the list. */
    public FleetViewAnswer {
      nodes = nodes == null ? List.of() : List.copyOf(nodes);
    }
  }
}
