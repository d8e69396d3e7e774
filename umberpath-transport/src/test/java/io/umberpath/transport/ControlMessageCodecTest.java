package io.umberpath.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.control.ControlStatus.NodeView;
import io.umberpath.control.SlotSet;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Roster;
import io.umberpath.model.Route;
import io.umberpath.model.Secret;
import io.umberpath.model.StateDelta;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that every control message is unchanged after encoding and decoding. */
class ControlMessageCodecTest {
  private static final PeerAddress ADDRESS = new PeerAddress("10.0.0.1", 7000);
  private static final Member MEMBER = new Member(3, ADDRESS, 5, "selayang", "klang-valley");
  private static final Version VERSION = new Version(2, 9);
  private static final Round ROUND = new Round(2, 40);
  private static final Route ROUTE =
      new Route(
          "r", "t", Tier.values()[0], "a.test", "/", "p", Optional.of("s"), Set.of("GET"), 1_000);
  private static final Secret SECRET = new Secret("s", "t", Tier.values()[0], new byte[] {65, 66});

  private final MessageCodec<ControlMessage> codec = TestMessages.codec();

  static Stream<ControlMessage> messages() {
    ControlMessage.Deliver deliver =
        new ControlMessage.Deliver(ROUND, ADDRESS, 3, VERSION, 7, List.of(delta()), List.of(3, 4));
    ControlMessage.Deliver heartbeat =
        new ControlMessage.Deliver(ROUND, ADDRESS, 3, VERSION, 7, List.of(), List.of());
    SlotSet slots = SlotSet.of(1, 2, 3, 900);
    return Stream.of(
        new ControlMessage.Attach(MEMBER, VERSION, 7, 2, ROUND, true, -1),
        new ControlMessage.AttachAccepted(deliver),
        new ControlMessage.Redirect(List.of(ADDRESS)),
        new ControlMessage.Redirect(List.of()),
        new ControlMessage.Detach(),
        deliver,
        heartbeat,
        new ControlMessage.Report(
            5,
            4,
            2,
            ROUND,
            List.of(new ControlMessage.ReportGroup(VERSION, VERSION, 7, slots)),
            List.of(MEMBER),
            false,
            true),
        new ControlMessage.VoteRequest(true, 3, MEMBER, 1),
        new ControlMessage.VoteAnswer(
            true,
            3,
            ADDRESS,
            1,
            2,
            7,
            VERSION,
            List.of(new ControlMessage.HeldGroup(VERSION, ADDRESS, slots)),
            List.of(MEMBER)),
        new ControlMessage.FetchState(3, VERSION, Version.NONE),
        new ControlMessage.FetchedState(3, List.of(delta())),
        new ControlMessage.ForwardChange(3, MEMBER, 8, 7, change()),
        new ControlMessage.ChangeOutcome(3, 5, 8, new ChangeResult.Accepted(VERSION)),
        new ControlMessage.ChangeOutcome(
            3,
            5,
            8,
            new ChangeResult.Refused(
                ChangeResult.RefusalCode.INVALID, List.of(new Violation("f", "v", "w")))),
        new ControlMessage.DocumentUpdate(documentDelta()),
        new ControlMessage.DocumentRequest(0),
        new ControlMessage.ObservedUpdate(
            List.of(new ObservedBackend("b", 1, 2, ObservedBackend.Phase.READY, 50))),
        new ControlMessage.FleetViewRequest(6),
        new ControlMessage.FleetViewAnswer(
            6, List.of(new NodeView(MEMBER, true, VERSION, VERSION, 7))));
  }

  private static StateDelta delta() {
    return new StateDelta(
        Version.NONE,
        0,
        VERSION,
        -77,
        List.of(ROUTE, SECRET),
        List.of(ROUTE.key()),
        List.of(new ChangeSet.DrainChange("b", true)),
        List.of(1),
        List.of(MEMBER),
        StateDelta.RosterBasis.EXPLICIT,
        Optional.of(new Roster(List.of(MEMBER))),
        List.of(),
        List.of("k"),
        4);
  }

  private static ChangeSet change() {
    return new ChangeSet(
        "id",
        "t",
        Tier.values()[0],
        Optional.of(VERSION),
        List.of(ROUTE, SECRET),
        List.of(ROUTE.key()),
        List.of());
  }

  private static ControlMessage.DocumentDelta documentDelta() {
    PlatformDocument.BackendAddress backend =
        new PlatformDocument.BackendAddress("b", "10.0.0.2", 80, "kepong", "10.0.0.2", 7001);
    PlatformDocument.Machine machine =
        new PlatformDocument.Machine(
            ADDRESS, "kepong", "klang-valley", PlatformDocument.MachineState.LIVE);
    return new ControlMessage.DocumentDelta(
        0,
        0,
        7,
        -5,
        List.of("gone"),
        List.of(new ControlMessage.ServiceChange("booking", List.of("a"), List.of(backend))),
        List.of(),
        List.of(machine));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void everyMessageRoundTrips(ControlMessage message) {
    assertThat(codec.decode(codec.encode(message)).get()).isEqualTo(message);
  }

  @Test
  void testDataCoversEveryMessageType() {
    Set<Class<?>> covered = messages().map(Object::getClass).collect(Collectors.toSet());
    Stream<Class<?>> known =
        Stream.of(ControlMessage.class.getAnnotation(JsonSubTypes.class).value())
            .map(JsonSubTypes.Type::value);
    assertThat(covered).containsExactlyInAnyOrderElementsOf(known.toList());
    assertThat(covered).containsExactlyInAnyOrder(ControlMessage.class.getPermittedSubclasses());
  }

  @ParameterizedTest
  @MethodSource("messages")
  void missingComponentsAreRefused(ControlMessage message) throws Exception {
    Class<?> type = message.getClass();
    boolean mayBeEmpty = type.getRecordComponents().length == 0;
    byte[] withoutComponents =
        new CBORMapper().writeValueAsBytes(List.of(typeName(type), List.of()));
    assertThat(codec.decode(withoutComponents).isRight()).isEqualTo(mayBeEmpty);
  }

  private static String typeName(Class<?> type) {
    return Stream.of(ControlMessage.class.getAnnotation(JsonSubTypes.class).value())
        .filter(entry -> entry.value() == type)
        .findAny()
        .orElseThrow()
        .name();
  }
}
