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
 * A message between the control sides of two nodes. Every message may be lost, late, duplicated or
 * come from a former incarnation; none assumes that an earlier one arrived.
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
   * Asks to become a child of the receiver.
   *
   * @param member the sender, its slot if it has one
   * @param held newest state it holds
   * @param revision platform revision it holds
   * @param epoch highest epoch it promised
   * @param round newest heartbeat round it heard
   * @param equalSuffices whether a parent that is as well informed will do; otherwise it must have
   *     heard a newer round
   * @param missedMillis how long it has been without observed state from a parent; -1 for ever
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
   * whose last report builds on one that did not arrive.
   *
   * @param delivery what the child lacks
   */
  record AttachAccepted(@JsonProperty("d") Deliver delivery) implements ControlMessage {}

  /**
   * The sender takes no child now.
   *
   * @param candidates others to ask; empty if the sender knows none that could help
   */
  record Redirect(@JsonProperty("c") List<PeerAddress> candidates) implements ControlMessage {
    /** Copies the list. */
    public Redirect {
      candidates = candidates == null ? List.of() : List.copyOf(candidates);
    }
  }

  /** The sender is not, or no longer, a child of the receiver. */
  record Detach() implements ControlMessage {}

  /**
   * A heartbeat round, ordered by epoch and then number.
   *
   * @param epoch epoch of the leader
   * @param number rises with each heartbeat of that leader
   */
  record Round(@JsonProperty("e") long epoch, @JsonProperty("n") long number) {
    /** Before any round. */
    public static final Round NONE = new Round(0, 0);

    /** Whether this round is strictly newer. */
    public boolean newerThan(Round other) {
      return epoch != other.epoch ? epoch > other.epoch : number > other.number;
    }
  }

  /**
   * From parent to child: heartbeat, commit notice and states. Also sent by a new leader to nodes
   * that are not its children, to announce itself.
   *
   * @param round newest heartbeat round
   * @param leader the leader of that round
   * @param leaderSlot its slot
   * @param committed newest version known to be committed
   * @param revision platform revision the sender holds, or its bitwise complement while the sender
   *     knows of a newer one that it lacks
   * @param deltas states the receiver lacks, each applying to the one before
   * @param readers slots that may read the platform while their leader is heard
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
   * From child to parent: everything known of the child's subtree; replaces its former report. A
   * parent that lacks the report a new one builds on answers {@link AttachAccepted}.
   *
   * @param incarnation incarnation of the sender
   * @param number rises with each report of the sender
   * @param epoch highest epoch promised in the subtree
   * @param round newest heartbeat round the sender heard
   * @param groups members by what they hold and run; see {@link ReportGroup} for what is left out
   * @param joins processes that wait to become members
   * @param joinsKept whether {@code joins} is left out because it is as in the former report
   * @param wholeStateWanted whether the sender refused a delta and wants the whole state
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
   * Members that hold and run the same.
   *
   * @param held newest state they hold
   * @param active agreed version they run
   * @param revision platform revision they run
   * @param slots the members; empty, in at most one group, for all slots of the sender's report
   *     with the number before that no other group names
   */
  record ReportGroup(
      @JsonProperty("h") Version held,
      @JsonProperty("a") Version active,
      @JsonProperty("v") long revision,
      @JsonProperty("s") SlotSet slots) {}

  /**
   * A candidate asks the receiver and its subtree for votes.
   *
   * @param binding whether a vote is a promise; otherwise only a statement of intent
   * @param epoch the epoch the candidate wants to lead
   * @param candidate the candidate
   * @param attempt tells apart successive requests for one epoch
   */
  record VoteRequest(
      @JsonProperty("b") boolean binding,
      @JsonProperty("e") long epoch,
      @JsonProperty("c") Member candidate,
      @JsonProperty("a") int attempt)
      implements ControlMessage {}

  /**
   * Votes of a subtree; replaces the sender's former answer to the same request.
   *
   * @param binding as in the request
   * @param epoch as in the request
   * @param candidate address of the candidate, as in the request
   * @param attempt as in the request
   * @param promised highest epoch promised in the subtree; above {@code epoch} for a refusal
   * @param revision highest platform revision held in the subtree
   * @param committed newest version known to be committed in the subtree
   * @param groups members that granted, by the state they hold
   * @param fresh processes without a seat that granted
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
   * @param holder one that can be asked for it
   * @param slots the members
   */
  record HeldGroup(
      @JsonProperty("h") Version held,
      @JsonProperty("o") PeerAddress holder,
      @JsonProperty("s") SlotSet slots) {}

  /**
   * A candidate asks a holder for the state it promised with.
   *
   * @param epoch the candidate's epoch
   * @param wanted the version
   * @param held what the candidate holds
   */
  record FetchState(
      @JsonProperty("e") long epoch,
      @JsonProperty("w") Version wanted,
      @JsonProperty("h") Version held)
      implements ControlMessage {}

  /**
   * Answers {@link FetchState}.
   *
   * @param epoch as asked
   * @param deltas lead to the holder's state
   */
  record FetchedState(@JsonProperty("e") long epoch, @JsonProperty("d") List<StateDelta> deltas)
      implements ControlMessage {
    /** Copies the list. */
    public FetchedState {
      deltas = deltas == null ? List.of() : List.copyOf(deltas);
    }
  }

  /**
   * An operator's change on its way to the leader.
   *
   * @param epoch epoch of the leader it is meant for; any other leader ignores it
   * @param origin the node that answers the operator
   * @param number the origin's number for the change, the same in repeats
   * @param lowestOpen lowest number the origin still waits for; lower ones are never run
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
   * The leader's answer to {@link ForwardChange}.
   *
   * @param epoch the leader's epoch
   * @param incarnation incarnation of the origin
   * @param number as in the request
   * @param result the outcome
   */
  record ChangeOutcome(
      @JsonProperty("e") long epoch,
      @JsonProperty("i") long incarnation,
      @JsonProperty("n") long number,
      @JsonProperty("r") ChangeResult result)
      implements ControlMessage {}

  /**
   * A newer revision of the platform's document, whole or as a difference.
   *
   * @param change the difference, or the whole document as a difference from nothing
   */
  record DocumentUpdate(@JsonProperty("c") DocumentDelta change) implements ControlMessage {}

  /**
   * Asks a neighbour for its document.
   *
   * @param revision what the sender holds; 0 asks for the whole document
   */
  record DocumentRequest(@JsonProperty("v") long revision) implements ControlMessage {}

  /**
   * The difference between two revisions of the platform's document.
   *
   * @param base revision it applies to; 0 for a whole document
   * @param baseHash hash of the base's content
   * @param revision revision it leads to
   * @param hash hash of the content it leads to
   * @param removedServices services that are gone
   * @param services services that changed
   * @param removedMachines machines that are gone
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
   * Changed back ends of one service.
   *
   * @param name the service
   * @param removed ids of back ends that are gone
   * @param changed back ends that are new or changed
   */
  record ServiceChange(
      @JsonProperty("n") String name,
      @JsonProperty("x") List<String> removed,
      @JsonProperty("c") List<PlatformDocument.BackendAddress> changed) {}

  /** Newer statements about back ends. */
  record ObservedUpdate(@JsonProperty("b") List<ObservedBackend> backends)
      implements ControlMessage {
    /** Copies the list. */
    public ObservedUpdate {
      backends = backends == null ? List.of() : List.copyOf(backends);
    }
  }

  /** Asks the leader for its per-member view. */
  record FleetViewRequest(@JsonProperty("t") long ticket) implements ControlMessage {}

  /** Answers {@link FleetViewRequest}. */
  record FleetViewAnswer(
      @JsonProperty("t") long ticket, @JsonProperty("n") List<ControlStatus.NodeView> nodes)
      implements ControlMessage {
    /** Copies the list. */
    public FleetViewAnswer {
      nodes = nodes == null ? List.of() : List.copyOf(nodes);
    }
  }
}
