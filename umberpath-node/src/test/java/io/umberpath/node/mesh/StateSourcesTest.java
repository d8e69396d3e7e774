package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import java.util.concurrent.ThreadLocalRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against repeated requests to a dead source. Only the newest advertised state was kept:
 * when the node that had advertised it was killed, nodes of other zones asked it again and again,
 * though others with a slightly older state were alive. A new route was served only after 2.0 to
 * 2.7 s.
 */
final class StateSourcesTest {
  private final StateSources sources = new StateSources(ThreadLocalRandom::current);

  private static StorePosition position(long revision) {
    return new StorePosition(StorePosition.NO_ERA, revision);
  }

  private String next() {
    String host = sources.nextHost(MeshView.EMPTY, "last", "silent"::equals).orElse("");
    sources.markTried(host);
    return host;
  }

  @Test
  void sourcesAreTriedInOrderOfTheirPosition() {
    sources.recordAdvertised("a", 5, position(50));
    sources.recordAdvertised("b", 4, position(40));
    sources.recordAdvertised("c", 3, position(30));

    assertThat(next()).isEqualTo("a");
    assertThat(next()).isEqualTo("b");
    assertThat(next()).isEqualTo("c");
    assertThat(next()).isEqualTo("a");
  }

  @Test
  void lastSourceIsPreferredAmongEquals() {
    sources.recordAdvertised("a", 5, position(50));
    sources.recordAdvertised("last", 5, position(50));
    sources.recordAdvertised("b", 5, position(50));

    assertThat(next()).isEqualTo("last");
  }

  @Test
  void silentNodeIsNotAsked() {
    sources.recordAdvertised("silent", 5, position(50));
    sources.recordAdvertised("a", 4, position(40));

    assertThat(next()).isEqualTo("a");
    assertThat(next()).isEqualTo("a");
  }

  @Test
  void allSourcesMayBeAskedAgainAfterAReset() {
    sources.recordAdvertised("a", 5, position(50));
    sources.recordAdvertised("b", 4, position(40));

    assertThat(next()).isEqualTo("a");
    sources.resetTried();

    assertThat(next()).isEqualTo("a");
  }
}
