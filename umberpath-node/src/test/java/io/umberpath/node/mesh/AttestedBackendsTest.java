package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class AttestedBackendsTest {
  private static final StoreContact LOST = new StoreContact(false, 1_000);
  private static final BackendEntry ENTRY =
      new BackendEntry(
          "a", "booking", new PeerAddress("10.0.0.1", 80), "z", 6, BackendEntry.State.READY, 0);

  private final AttestedBackends backends = new AttestedBackends();

  private List<BackendEntry> ready(long now, StoreContact contact, BackendEntry... listed) {
    return backends.readyBackends(
        now, new BackendDirectory(List.of(listed), Set.of()), () -> contact, "booking");
  }

  @Test
  void attestedBackendIsUsedUntilItsAttestationExpires() {
    backends.recordAttestation(5_000, "10.0.0.1", Optional.of(ENTRY));

    assertThat(ready(7_499, StoreContact.FROM_START)).containsExactly(ENTRY);
    assertThat(ready(7_500, StoreContact.FROM_START)).isEmpty();

    backends.recordAttestation(7_600, "10.0.0.1", Optional.of(ENTRY));
    backends.recordAttestation(7_700, "10.0.0.1", Optional.empty());
    assertThat(ready(7_700, StoreContact.FROM_START)).isEmpty();
  }

  @Test
  void backendListedAtItsAddressReplacesAnAttestedOne() {
    backends.recordAttestation(5_000, "10.0.0.1", Optional.of(ENTRY));
    BackendEntry later =
        new BackendEntry("b", "booking", ENTRY.address(), "z", 6, BackendEntry.State.READY, 0);

    assertThat(ready(5_000, StoreContact.FROM_START, later)).containsExactly(later);
  }

  /** Required by the users: a backend still missing two seconds after reconnection is gone. */
  @Test
  void backendStillUnlistedTwoSecondsAfterReconnectionIsDropped() {
    StoreContact regained = new StoreContact(true, 5_200);
    backends.recordAttestation(5_000, "10.0.0.1", Optional.of(ENTRY));
    assertThat(ready(5_100, LOST)).containsExactly(ENTRY);

    for (long now = 5_200; now < 8_000; now += 100) {
      backends.recordAttestation(now, "10.0.0.1", Optional.of(ENTRY));
      assertThat(ready(now, regained).isEmpty()).isEqualTo(now >= 7_200);
    }
  }

  @Test
  void attestationOfAnEarlierStartWithTheSameIdIsNotExtended() {
    StoreContact regained = new StoreContact(true, 5_200);
    backends.recordAttestation(5_000, "10.0.0.1", Optional.of(ENTRY));
    BackendEntry restarted =
        new BackendEntry(
            "a", "booking", ENTRY.address(), "z", 6, BackendEntry.State.READY, 0, 7_000);

    backends.recordAttestation(7_300, "10.0.0.1", Optional.of(restarted));

    assertThat(ready(7_300, regained)).containsExactly(restarted);
  }

  @Test
  void backendWhoseEntryExpiresAfterReconnectionIsUsed() {
    StoreContact regained = new StoreContact(true, 5_200);
    backends.recordAttestation(9_000, "10.0.0.1", Optional.of(ENTRY));

    assertThat(ready(9_000, regained)).containsExactly(ENTRY);
  }

  @Test
  void attestedBackendOfAnEvacuatedZoneIsNotUsed() {
    backends.recordAttestation(5_000, "10.0.0.1", Optional.of(ENTRY));
    BackendDirectory evacuated = new BackendDirectory(List.of(), Set.of("z"));

    assertThat(backends.readyBackends(5_000, evacuated, () -> LOST, "booking")).isEmpty();
  }
}
