package io.umberpath.transport.tls;

import javax.net.ssl.SSLEngine;
import org.glassfish.grizzly.ssl.SSLEngineConfigurator;

/** Creates TLS engines from the current context; both sides must present a certificate. */
final class MutualTlsEngineConfigurator extends SSLEngineConfigurator {
  private static final String[] PROTOCOLS = {TlsContextLoader.PROTOCOL};

  private final ReloadingTlsContext tls;
  private final boolean isClient;

  MutualTlsEngineConfigurator(ReloadingTlsContext tls, boolean isClient) {
    super(tls.context(), isClient, !isClient, !isClient);
    this.tls = tls;
    this.isClient = isClient;
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
    engine.setUseClientMode(isClient);
    engine.setEnabledProtocols(PROTOCOLS);
    if (!isClient) {
      engine.setNeedClientAuth(true);
    }
    return engine;
  }

  @Override
  public SSLEngineConfigurator copy() {
    return new MutualTlsEngineConfigurator(tls, isClient);
  }
}
