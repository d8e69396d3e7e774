package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.inbound.ConnectionEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An exception of the program ends a caller's connection, which looks as if the caller had. */
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

  /** A thread that is late handles requests in tasks of their own. */
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
