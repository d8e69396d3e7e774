package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.inbound.ConnectionEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An exception of the program ends a caller's connection, which looks as if the caller had. */
@Timeout(60)
class ConnectionEndedByAFaultTest extends InboundFixtureTest {
  @Test
  void isToldFromOneThatItsCallerEnded() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      caller.send(InboundFixture.FAULTY);

      assertThat(caller.endsNow()).isTrue();
      assertThat(fixture.awaitEnded().end()).isEqualTo(ConnectionEnd.FAULT);
    }
  }

  /** A thread that is late handles requests in tasks of their own. */
  @Test
  void aFaultInADeferredRequestEndsItsConnection() throws Exception {
    try (RawConnection caller = fixture.connect();
        RawConnection other = fixture.connect()) {
      fixture.exchange(caller);
      fixture.blockReading();
      caller.send(InboundFixture.FAULTY);
      fixture.readOnLate();

      assertThat(caller.endsNow()).isTrue();
      assertThat(fixture.awaitEnded().end()).isEqualTo(ConnectionEnd.FAULT);
      fixture.exchange(other);
    }
  }
}
