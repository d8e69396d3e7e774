package io.umberpath.node.proxy;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base class that gives each test case its own listener. */
abstract class InboundFixtureTest {
  InboundFixture fixture;

  @BeforeEach
  void start() throws IOException {
    fixture = new InboundFixture();
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }
}
