package io.umberpath.lab.transport;

import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlNodes;
import io.umberpath.control.ControlSettings;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.node.control.ControlRuntime;
import io.umberpath.node.control.ControlRuntimeSettings;
import io.umberpath.node.platform.PlatformReader;
import io.umberpath.transport.GrizzlyTransport;
import io.umberpath.transport.MessageCodec;
import io.umberpath.transport.TransportSecurity;
import io.umberpath.transport.TransportSettings;
import java.io.IOException;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A control runtime on a loopback port with a platform whose document never changes. */
final class IdleNode implements AutoCloseable {
  private static final int FORMING_MEMBERS = 3;
  private static final int STALL_HEARTBEATS = 4;
  private static final int ELECTION_HEARTBEATS = 10;
  private static final int MAX_QUEUED_CHANGES = 100;
  private static final int REMEMBERED_CHANGES = 100;

  /** How many times later than the first node the others ask for votes. */
  private static final int PATIENCE = 10;

  private static final PlatformDocument DOCUMENT =
      new PlatformDocument(1, new TreeMap<>(), List.of());

  private final GrizzlyTransport transport;
  private final ControlRuntime runtime;
  private final PeerAddress address;

  /**
   * Starts one.
   *
   * @param seeds nodes to join; empty for the node that the others join, which is then the one to
   *     ask for votes first
   * @param zone its zone; the first of each zone is a child of the leader
   * @param maxChildren children it prefers and accepts
   * @param heartbeatMillis interval of the leader's heartbeats
   */
  IdleNode(List<PeerAddress> seeds, String zone, int maxChildren, long heartbeatMillis)
      throws IOException {
    long incarnation = System.nanoTime();
    TransportSettings settings =
        TransportSettings.withDefaults(
            new PeerAddress("127.0.0.1", 0),
            incarnation,
            new TransportSecurity.PlainTextLoopback());
    transport = new GrizzlyTransport(settings, new MessageCodec<>(ControlMessage.class));
    address = transport.bind();
    Member self = new Member(Member.NO_SLOT, address, incarnation, zone, "region");
    runtime =
        new ControlRuntime(
            ControlNodes.create(settings(self, seeds, maxChildren, heartbeatMillis)),
            transport,
            new UnchangingPlatform(),
            ControlRuntimeSettings.DEFAULT,
            () -> {});
    runtime.start();
  }

  private static ControlSettings settings(
      Member self, List<PeerAddress> seeds, int maxChildren, long heartbeatMillis) {
    return new ControlSettings(
        self,
        seeds,
        FORMING_MEMBERS,
        ControlSettings.QuorumRule.MAJORITY,
        0,
        heartbeatMillis,
        STALL_HEARTBEATS * heartbeatMillis,
        (seeds.isEmpty() ? 1 : PATIENCE) * ELECTION_HEARTBEATS * heartbeatMillis,
        maxChildren,
        maxChildren,
        1,
        heartbeatMillis,
        MAX_QUEUED_CHANGES,
        REMEMBERED_CHANGES);
  }

  PeerAddress address() {
    return address;
  }

  ControlRuntime runtime() {
    return runtime;
  }

  GrizzlyTransport transport() {
    return transport;
  }

  @Override
  public void close() {
    runtime.close();
  }

  /** Always answers at once with the same document. */
  private static final class UnchangingPlatform implements PlatformReader {
    @Override
    public CompletionStage<PlatformDocument> read() {
      return CompletableFuture.completedFuture(DOCUMENT);
    }

    @Override
    public void close() {}
  }
}
