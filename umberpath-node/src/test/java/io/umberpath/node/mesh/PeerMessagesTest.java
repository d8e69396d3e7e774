package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.umberpath.control.store.StoreItem;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.GateLoad;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What nodes say to each other: reports, transfers, the hop header. */
final class PeerMessagesTest {
  @Test
  void aReportIsReadAsItWasWritten() throws IOException {
    PeerReport report =
        new PeerReport(
            new GateLoad(5, 2, 6, 61_000, 400, 0), true, 42, 1_000_000_007, Optional.empty());

    byte[] bytes = report.encode();

    assertThat(PeerReport.decode(bytes, bytes.length)).isEqualTo(report);
    assertThat(bytes.length).isLessThan(32);
  }

  @Test
  void aReportThatAttestsABackendIsReadAsItWasWritten() throws IOException {
    BackendEntry entry =
        new BackendEntry(
            "i-7f",
            "booking",
            new PeerAddress("10.0.0.1", 80),
            "z",
            6,
            BackendEntry.State.READY,
            0);
    PeerReport report =
        new PeerReport(new GateLoad(5, 2, 6, 61_000, 400, 0), false, 42, 7, Optional.of(entry));

    byte[] bytes = report.encode();

    assertThat(PeerReport.decode(bytes, bytes.length)).isEqualTo(report);
    assertThatThrownBy(() -> PeerReport.decode(bytes, bytes.length - 8))
        .isInstanceOf(IOException.class);
  }

  @Test
  void whatIsNoReportIsRefused() {
    byte[] garbage = {1, 2, 3, 4};

    assertThatThrownBy(() -> PeerReport.decode(garbage, garbage.length))
        .isInstanceOf(IOException.class);
  }

  @Test
  void aTransferIsReadAsItWasWritten() throws IOException {
    StateTransfer transfer =
        new StateTransfer(12, List.of(new StoreItem("a", "1", 3), new StoreItem("b", "", 12)));
    ByteArrayOutputStream out = new ByteArrayOutputStream();

    transfer.write(out);

    assertThat(StateTransfer.read(new ByteArrayInputStream(out.toByteArray()))).isEqualTo(transfer);
  }

  @Test
  void aTransferThatIsCutShortIsRefusedWhole() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new StateTransfer(12, List.of(new StoreItem("a", "1", 3))).write(out);
    byte[] whole = out.toByteArray();

    for (int length = 0; length < whole.length; length++) {
      ByteArrayInputStream part = new ByteArrayInputStream(whole, 0, length);
      assertThatThrownBy(() -> StateTransfer.read(part)).isInstanceOf(IOException.class);
    }
  }

  @Test
  void aHopLineIsReadAsItWasWritten() {
    HopLine hop = new HopLine("i-7f", "r-1", 2, 150, 180, 40, -5);

    assertThat(HopLine.decode(hop.encode())).contains(hop);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "i-7f",
        "i-7f,r-1,2,150,180,40",
        ",r-1,2,150,180,40,-5",
        "i-7f,r-1,x,150,180,40,-5",
        "a,b,1,2,3,4,5,6"
      })
  void whatIsNoHopLineIsNone(String text) {
    assertThat(HopLine.decode(text)).isEmpty();
  }
}
