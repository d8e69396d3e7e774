package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.inbound.ConnectionEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * An error in the request handling closes a client's connection, which must not be taken for a
 * close by the client.
 */
@Timeout(60)
class ConnectionClosedByErrorTest extends InboundFixtureTest {
  @Test
  void isDistinguishedFromCloseByTheClient() throws Exception {
    try (RawConnection client = fixture.connect()) {
      client.send(InboundFixture.FAULTY);

      assertThat(client.endsNow()).isTrue();
      assertThat(fixture.awaitUnanswered().end()).isEqualTo(ConnectionEnd.FAULT);
    }
  }

  /** A late thread handles requests in deferred tasks, outside of the filter chain. */
  @Test
  void errorInADeferredRequestClosesItsConnection() throws Exception {
    try (RawConnection client = fixture.connect();
        RawConnection other = fixture.connect()) {
      fixture.exchange(client);
      fixture.blockSelector();
      client.send(InboundFixture.FAULTY);
      fixture.unblockSelectorLate();

      assertThat(client.endsNow()).isTrue();
      assertThat(fixture.awaitUnanswered().end()).isEqualTo(ConnectionEnd.FAULT);
      fixture.exchange(other);
    }
  }
}
