package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.Version;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CodecTest {
  private static final ObjectMapper MAPPER =
      CBORMapper.builder().addModule(new Jdk8Module()).build();
  private static final PeerAddress ADDRESS = new PeerAddress("10.0.0.1", 7_000);
  private static final Member MEMBER = new Member(3, ADDRESS, 9, "z1", "r1");
  private static final Version VERSION = new Version(2, 5);
  private static final Round ROUND = new Round(2, 17);
  private static final SlotSet SLOTS = SlotSet.of(1, 2, 3, 70_000);

  static Stream<ControlMessage> messages() {
    ControlMessage.Deliver deliver =
        new ControlMessage.Deliver(
            ROUND,
            ADDRESS,
            3,
            VERSION,
            4,
            List.of(StateDeltas.wholeState(FleetState.EMPTY)),
            List.of(3, 4));
    return Stream.of(
        new ControlMessage.Attach(MEMBER, VERSION, 4, 2, ROUND, true, -1),
        new ControlMessage.AttachAccepted(deliver),
        new ControlMessage.Redirect(List.of(ADDRESS)),
        new ControlMessage.Detach(),
        deliver,
        new ControlMessage.Deliver(ROUND, ADDRESS, 0, VERSION, 0, List.of(), List.of()),
        new ControlMessage.Report(
            9,
            1,
            2,
            ROUND,
            List.of(new ControlMessage.ReportGroup(VERSION, VERSION, 4, SLOTS)),
            List.of(MEMBER),
            false,
            true),
        new ControlMessage.VoteRequest(true, 3, MEMBER, 1),
        new ControlMessage.VoteAnswer(
            true,
            3,
            ADDRESS,
            1,
            3,
            4,
            VERSION,
            List.of(new ControlMessage.HeldGroup(VERSION, ADDRESS, SLOTS)),
            List.of()),
        new ControlMessage.FetchState(3, VERSION, Version.NONE),
        new ControlMessage.FetchedState(3, List.of()),
        new ControlMessage.ForwardChange(2, MEMBER, 1, 1, TestFleet.poolChange("r1", "p1")),
        new ControlMessage.ChangeOutcome(2, 9, 1, new ChangeResult.Accepted(VERSION)),
        new ControlMessage.DocumentUpdate(
            DocumentDeltas.between(PlatformDocument.NONE, TestFleet.document(4))),
        new ControlMessage.DocumentRequest(3),
        new ControlMessage.ObservedUpdate(
            List.of(new ObservedBackend("b1", 9, 2, ObservedBackend.Phase.READY, 40))),
        new ControlMessage.FleetViewRequest(5),
        new ControlMessage.FleetViewAnswer(
            5, List.of(new ControlStatus.NodeView(MEMBER, true, VERSION, VERSION, 4))));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void everyMessageRoundTripsThroughCbor(ControlMessage message) throws Exception {
    byte[] bytes = MAPPER.writerFor(ControlMessage.class).writeValueAsBytes(message);
    assertThat(MAPPER.readValue(bytes, ControlMessage.class)).isEqualTo(message);
  }

  @Test
  void everyMessageTypeIsCovered() {
    assertThat(messages().map(Object::getClass).distinct())
        .hasSameSizeAs(ControlMessage.class.getPermittedSubclasses());
  }
}
