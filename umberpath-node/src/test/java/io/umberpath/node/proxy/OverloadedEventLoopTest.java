package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import io.umberpath.node.proxy.http.ProxyHeaders;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A selector thread that is given more work at once than it can do in time. */
@Timeout(60)
class OverloadedEventLoopTest extends InboundFixtureTest {
  /** As much work as eight times the time after which a backlog counts as standing. */
  private static final int REQUESTS = 40;

  /** Each request used to be begun, in the order of arrival, however long it had waited. */
  @Test
  void requestsThatAreOvertakenAreRefusedAsNotRunWithATimeToComeBack() throws Exception {
    List<RawConnection> clients = new ArrayList<>();
    try {
      fixture.blockSelector();
      for (int index = 0; index < REQUESTS; index++) {
        RawConnection client = fixture.connect();
        clients.add(client);
        client.send(InboundFixture.WORK);
      }
      fixture.unblockSelectorLate();

      int refused = 0;
      for (RawConnection client : clients) {
        Message response = client.read();
        if (response.status() != 404) {
          assertThat(response.header(ProxyHeaders.VERDICT)).isEqualTo("not-run; reason=overloaded");
          assertThat(response.header("Retry-After")).isNotEmpty();
          refused++;
        }
      }
      assertThat(fixture.workedOn()).isEqualTo(REQUESTS - refused);
      assertThat(refused).isGreaterThan(REQUESTS / 2);
    } finally {
      for (RawConnection client : clients) {
        client.close();
      }
    }
  }
}
