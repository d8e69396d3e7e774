package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

/**
 * Takes the state of another node while this one is behind and the store itself does not help: the
 * store may refuse, throttle or drop this node alone. One transfer at a time.
 */
final class StatePuller implements AutoCloseable {
  /** How long this node gives the store before it asks another node. */
  private static final long PATIENCE_MILLIS = 350;

  private static final long CHECK_MILLIS = 100;
  private static final int TIMEOUT_MILLIS = 500;

  private final MeshSettings settings;
  private final MeshState state;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final Thread thread = new Thread(this::run, "umberpath-puller");
  private volatile boolean closed;
  private String aheadHost;
  private long aheadVersion = -1;
  private long aheadRevision = -1;
  private long behindSinceMillis = -1;

  StatePuller(MeshSettings settings, MeshState state, MeshEvents events, LongSupplier clockMillis) {
    this.settings = settings;
    this.state = state;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  void start() {
    behindSinceMillis = clockMillis.getAsLong();
    thread.setDaemon(true);
    thread.start();
  }

  /** Another node holds something newer. */
  synchronized void ahead(String host, long version, long revision) {
    if (behindSinceMillis < 0) {
      behindSinceMillis = clockMillis.getAsLong();
    }
    aheadHost = host;
    aheadVersion = Math.max(aheadVersion, version);
    aheadRevision = Math.max(aheadRevision, revision);
    notifyAll();
  }

  private void run() {
    while (!closed) {
      try {
        awaitBehind();
        step();
        Thread.sleep(CHECK_MILLIS);
      } catch (InterruptedException ended) {
        return;
      } catch (RuntimeException fault) {
        events.fault("state puller", fault);
      }
    }
  }

  private synchronized void awaitBehind() throws InterruptedException {
    while (behindSinceMillis < 0) {
      wait();
    }
  }

  private void step() {
    List<PeerAddress> sources;
    synchronized (this) {
      MeshView view = state.view();
      boolean behind =
          !view.isComplete() || view.version() < aheadVersion || view.revision() < aheadRevision;
      if (!behind) {
        behindSinceMillis = -1;
        return;
      }
      if (clockMillis.getAsLong() < behindSinceMillis + PATIENCE_MILLIS) {
        return;
      }
      sources = sources(view);
    }
    for (PeerAddress source : sources) {
      if (pull(source)) {
        return;
      }
    }
  }

  private List<PeerAddress> sources(MeshView view) {
    List<PeerAddress> sources = new ArrayList<>();
    if (aheadHost != null) {
      sources.add(new PeerAddress(aheadHost, settings.exchange().port()));
    }
    if (!view.isComplete()) {
      List<PeerAddress> seeds = new ArrayList<>(settings.seeds());
      settings.control().ifPresent(seeds::remove);
      Collections.shuffle(seeds, ThreadLocalRandom.current());
      sources.addAll(seeds);
    }
    return sources;
  }

  private boolean pull(PeerAddress source) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(source.host(), source.port()), TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      StateTransfer transfer = StateTransfer.read(in);
      long before = state.view().revision();
      if (transfer.at() <= before) {
        return false;
      }
      state.adopt(transfer.items(), transfer.at(), source.toString());
      events.stateAdopted(source.toString(), state.view().version(), transfer.at());
      return true;
    } catch (IOException unreachable) {
      return false;
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
