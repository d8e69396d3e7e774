package io.umberpath.lab.transport;

import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.control.SlotSet;
import io.umberpath.lab.OptionsCommand;
import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Route;
import io.umberpath.model.StateDelta;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import io.umberpath.transport.MessageCodec;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.kohsuke.args4j.Option;

/** {@code umberpath-lab message-sizes}: framed bytes of typical control messages. */
public final class MessageSizesCommand extends OptionsCommand {
  private static final int FRAME_HEADER_BYTES = 6;
  private static final Version HELD = new Version(12, 4_800_000);
  private static final Round ROUND = new Round(12, 250_000);
  private static final long REVISION = 120_000;
  private static final int ZONES = 8;

  @Option(name = "--members", metaVar = "N", usage = "members of the fleet (default 5900)")
  private int members = 5_900;

  private final MessageCodec<ControlMessage> codec = new MessageCodec<>(ControlMessage.class);

  @Override
  public String name() {
    return "message-sizes";
  }

  @Override
  public String summary() {
    return "print the framed bytes of typical control messages";
  }

  @Override
  protected int run(PrintStream out) {
    print(out, "heartbeat", deliver(List.of()));
    print(out, "one route changed", deliver(List.of(delta(false, List.of(route(1))))));
    print(out, "20 routes changed", deliver(List.of(delta(false, routes(20)))));
    print(out, "whole state, 200 routes", deliver(List.of(delta(true, routes(200)))));
    print(out, "report of one node", report(SlotSet.of(members - 1)));
    print(out, "report of 300 nodes in a row", report(slots(300, 1)));
    print(out, "report of 300 nodes, every 7th", report(slots(300, 7)));
    print(out, "attach", new ControlMessage.Attach(member(7), HELD, REVISION, 12, ROUND, true, -1));
    print(out, "one back end observed", observed(1));
    print(out, "20 back ends observed", observed(20));
    return EXIT_SUCCESS;
  }

  private void print(PrintStream out, String name, ControlMessage message) {
    out.printf("%-32s %8d bytes%n", name, FRAME_HEADER_BYTES + codec.encode(message).length);
  }

  private static ControlMessage deliver(List<StateDelta> deltas) {
    return new ControlMessage.Deliver(
        ROUND, new PeerAddress("10.4.17.33", 7_100), 5, HELD, REVISION, deltas, List.of(5, 9, 40));
  }

  private StateDelta delta(boolean whole, List<Route> routes) {
    return new StateDelta(
        whole ? Version.NONE : HELD,
        whole ? 0 : 0x5eed5eed5eed5eedL,
        new Version(12, 4_800_001),
        0x7eed5eed5eed5eedL,
        List.copyOf(routes),
        List.of(),
        List.of(),
        List.of(),
        whole ? roster() : List.of(),
        StateDelta.RosterBasis.SETTLED,
        Optional.empty(),
        List.of(),
        List.of(),
        members);
  }

  private List<Member> roster() {
    return IntStream.range(0, members).mapToObj(MessageSizesCommand::member).toList();
  }

  private static Member member(int slot) {
    String host = "10." + slot % ZONES + "." + slot / 250 + "." + slot % 250;
    return new Member(
        slot,
        new PeerAddress(host, 7_100),
        1_700_000_000_000L + slot * 7_919L,
        "zone-" + slot % ZONES,
        "region-" + slot % 3);
  }

  private static List<Route> routes(int count) {
    List<Route> routes = new ArrayList<>();
    IntStream.range(0, count).forEach(number -> routes.add(route(number)));
    return routes;
  }

  private static Route route(int number) {
    return new Route(
        "stall-route-" + number,
        "tenant-" + number % 12,
        Tier.STANDARD,
        "stall-" + number + ".example",
        "/booking/" + number,
        "pool-" + number % 30,
        Optional.of("secret-" + number % 30),
        Set.of("GET", "HEAD"),
        3_000);
  }

  private static ControlMessage report(SlotSet slots) {
    return new ControlMessage.Report(
        77,
        4_000,
        12,
        ROUND,
        List.of(new ControlMessage.ReportGroup(HELD, HELD, REVISION, slots)),
        List.of(),
        false,
        false);
  }

  private static SlotSet slots(int count, int step) {
    return SlotSet.of(IntStream.range(0, count).map(number -> 100 + number * step).toArray());
  }

  private static ControlMessage observed(int count) {
    return new ControlMessage.ObservedUpdate(
        IntStream.range(0, count)
            .mapToObj(
                number ->
                    new ObservedBackend(
                        "booking-" + number,
                        1_700_000_000_000L + number,
                        40_000 + number,
                        ObservedBackend.Phase.READY,
                        35))
            .toList());
  }
}
