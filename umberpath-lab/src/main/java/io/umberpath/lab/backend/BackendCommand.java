package io.umberpath.lab.backend;

import io.umberpath.lab.OptionsCommand;
import io.umberpath.lab.http.LabHttpServer;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;

/** {@code umberpath-lab backend}: serves until it is stopped. */
public final class BackendCommand extends OptionsCommand {
  @Option(name = "--id", metaVar = "ID", usage = "id in the platform's document")
  private String id = "backend-1";

  @Option(name = "--host", metaVar = "IP", usage = "IP address to listen on")
  private String host = "127.0.0.1";

  @Option(name = "--port", metaVar = "PORT", usage = "port of the work; 0 picks a free one")
  private int port;

  @Option(name = "--admin-port", metaVar = "PORT", usage = "port of the steering calls")
  private int adminPort;

  @Option(name = "--probe-millis", metaVar = "N", usage = "time of a health or load probe")
  private long probeMillis;

  @Option(name = "--seed", metaVar = "N", usage = "seed of the service times")
  private long seed = 1;

  @Override
  public String name() {
    return "backend";
  }

  @Override
  public String summary() {
    return "serve the workloads' requests with slots, shedding, draining and misleading signals";
  }

  @Override
  protected int run(PrintStream out) throws Exception {
    BackendSettings settings = BackendSettings.standard(id, probeMillis, seed);
    try (BackendStandIn backend = BackendStandIn.start(host, port, settings, new RunLedger());
        LabHttpServer admin = LabHttpServer.create(host, adminPort, new BackendAdmin(backend))) {
      admin.start();
      out.println("work: http://" + host + ":" + backend.port());
      out.println("admin: http://" + host + ":" + admin.port());
      new CountDownLatch(1).await();
    }
    return EXIT_SUCCESS;
  }
}
