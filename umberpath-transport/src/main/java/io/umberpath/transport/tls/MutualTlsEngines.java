package io.umberpath.transport.tls;

import javax.net.ssl.SSLEngine;
import org.glassfish.grizzly.ssl.SSLEngineConfigurator;

/** Makes engines from the newest context; both sides must show a certificate. */
final class MutualTlsEngines extends SSLEngineConfigurator {
  private static final String[] PROTOCOLS = {TlsContexts.PROTOCOL};

  private final ReloadingTls tls;
  private final boolean client;

  MutualTlsEngines(ReloadingTls tls, boolean client) {
    super(tls.context(), client, !client, !client);
    this.tls = tls;
    this.client = client;
  }

  @Override
  public SSLEngine createSSLEngine() {
    return configure(tls.context().createSSLEngine());
  }

  @Override
  public SSLEngine createSSLEngine(String peerHost, int peerPort) {
    return configure(tls.context().createSSLEngine(peerHost, peerPort));
  }

  @Override
  public SSLEngine configure(SSLEngine engine) {
    engine.setUseClientMode(client);
    engine.setEnabledProtocols(PROTOCOLS);
    if (!client) {
      engine.setNeedClientAuth(true);
    }
    return engine;
  }

  @Override
  public SSLEngineConfigurator copy() {
    return new MutualTlsEngines(tls, client);
  }
}
