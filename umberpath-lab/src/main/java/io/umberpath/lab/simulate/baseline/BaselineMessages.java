package io.umberpath.lab.simulate.baseline;

import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlMessage.DocumentDelta;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.control.ControlMessage.ServiceChange;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.StateDelta;
import io.umberpath.model.StateDeltas;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The baselines' use of the product's messages, so that both are encoded alike. */
final class BaselineMessages {
  private static final Round ONLY_ROUND = new Round(1, 1);

  private BaselineMessages() {}

  /** Asks the server for what is newer. */
  static ControlMessage poll(Member self, FleetState state, PlatformDocument document) {
    return new ControlMessage.Attach(
        self, state.version(), document.revision(), 1, ONLY_ROUND, true, -1);
  }

  /** Nothing is newer. */
  static ControlMessage unchanged() {
    return new ControlMessage.Detach();
  }

  /** The whole agreed state. */
  static ControlMessage state(Member server, FleetState state, PlatformDocument document) {
    List<StateDelta> whole = List.of(StateDeltas.wholeState(state));
    return new ControlMessage.Deliver(
        ONLY_ROUND, server.address(), 0, state.version(), document.revision(), whole, List.of());
  }

  /** The whole document. */
  static ControlMessage document(PlatformDocument document) {
    List<ServiceChange> services = new ArrayList<>();
    document
        .services()
        .forEach((name, backends) -> services.add(new ServiceChange(name, List.of(), backends)));
    return new ControlMessage.DocumentUpdate(
        new DocumentDelta(
            0, 0, document.revision(), 0, List.of(), services, List.of(), document.machines()));
  }

  /** The document of such a message. */
  static PlatformDocument documentOf(DocumentDelta whole) {
    TreeMap<String, List<BackendAddress>> services = new TreeMap<>();
    whole.services().forEach(service -> services.put(service.name(), service.changed()));
    return new PlatformDocument(whole.revision(), services, whole.machines());
  }
}
