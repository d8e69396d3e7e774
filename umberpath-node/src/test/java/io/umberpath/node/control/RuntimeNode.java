package io.umberpath.node.control;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlNode;
import io.umberpath.control.ControlNodes;
import io.umberpath.control.ControlOutput;
import io.umberpath.control.ControlSettings;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Version;
import io.umberpath.node.platform.PlatformReader;
import io.umberpath.transport.GrizzlyTransport;
import io.umberpath.transport.MessageCodec;
import io.umberpath.transport.TransportSecurity;
import io.umberpath.transport.TransportSettings;
import java.io.IOException;
import java.util.AbstractList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/** A control runtime of a test fleet, on a real socket. */
final class RuntimeNode implements AutoCloseable {
  final PeerAddress address;
  final GrizzlyTransport transport;
  final AtomicBoolean nodeFailed = new AtomicBoolean();
  final AtomicBoolean statusLagged = new AtomicBoolean();
  final List<ProxySnapshot> activations = new CopyOnWriteArrayList<>();
  ControlRuntime runtime;

  private final long incarnation;
  private final AtomicReference<PlatformDocument> platform;

  /** Binds the socket so that the address is known; {@link #start} starts the runtime. */
  RuntimeNode(PeerAddress listen, long incarnation, AtomicReference<PlatformDocument> platform)
      throws IOException {
    this.incarnation = incarnation;
    this.platform = platform;
    TransportSettings settings =
        TransportSettings.withDefaults(
            listen, incarnation, new TransportSecurity.PlainTextLoopback());
    transport = new GrizzlyTransport(settings, new MessageCodec<>(ControlMessage.class));
    address = transport.bind();
  }

  void start(List<PeerAddress> seeds, int fleetSize) throws IOException {
    Member self =
        new Member(Member.NO_SLOT, address, incarnation, "zone-" + address.port() % 2, "region");
    ControlSettings settings =
        new ControlSettings(
            self,
            seeds,
            fleetSize,
            ControlSettings.QuorumRule.MAJORITY,
            5,
            200,
            1_000,
            2_000,
            2,
            8,
            2,
            300,
            100,
            1_000);
    ControlNode node = new RecordingNode(ControlNodes.create(settings));
    runtime =
        new ControlRuntime(
            node,
            transport,
            new StaticPlatformReader(),
            ControlRuntimeSettings.DEFAULT,
            () -> nodeFailed.set(true));
    runtime.start();
  }

  ControlStatus status() {
    return runtime.status();
  }

  boolean isLeader() {
    return status().role() == ControlStatus.Role.LEADER;
  }

  /** Simulates a killed process: closes the transport first, so that nothing more is sent. */
  void kill() {
    transport.close();
    runtime.close();
  }

  @Override
  public void close() {
    if (runtime != null) {
      runtime.close();
    }
    transport.close();
  }

  /** Returns the current platform document of the test fleet. */
  private final class StaticPlatformReader implements PlatformReader {
    @Override
    public CompletionStage<PlatformDocument> read() {
      return CompletableFuture.completedFuture(platform.get());
    }

    @Override
    public void close() {}
  }

  /** Records every activation. */
  private final class RecordingNode implements ControlNode {
    private final ControlNode node;

    RecordingNode(ControlNode node) {
      this.node = node;
    }

    @Override
    public List<ControlOutput> handle(long nowMillis, ControlInput input) {
      List<ControlOutput> outputs = node.handle(nowMillis, input);
      for (ControlOutput output : outputs) {
        if (output instanceof ControlOutput.Activate activate) {
          activations.add(activate.snapshot());
        }
      }
      return new AbstractList<>() {
        @Override
        public ControlOutput get(int index) {
          return outputs.get(index);
        }

        @Override
        public int size() {
          checkStatusLag();
          return outputs.size();
        }
      };
    }

    /** Called between any two outputs, because the loop calls {@code size()} on its own thread. */
    private void checkStatusLag() {
      Version active = runtime.status().activeVersion();
      statusLagged.compareAndSet(false, active.compareTo(runtime.snapshot().version()) < 0);
    }

    @Override
    public long nextWakeMillis() {
      return node.nextWakeMillis();
    }

    @Override
    public ControlStatus status() {
      return node.status();
    }
  }
}
