package io.umberpath.lab.platform;

import io.umberpath.lab.OptionsCommand;
import io.umberpath.lab.http.LabHttpServer;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Violation;
import io.umberpath.node.platform.PlatformDocumentCodec;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;

/** {@code umberpath-lab platform}: serves until it is stopped. */
public final class PlatformCommand extends OptionsCommand {
  @Option(name = "--host", metaVar = "IP", usage = "IP address to listen on")
  private String host = "127.0.0.1";

  @Option(name = "--port", metaVar = "PORT", usage = "port of the document; 0 picks a free one")
  private int port;

  @Option(name = "--admin-port", metaVar = "PORT", usage = "port of the steering calls")
  private int adminPort;

  @Option(name = "--document", metaVar = "FILE", required = true, usage = "first document, JSON")
  private Path document;

  @Override
  public String name() {
    return "platform";
  }

  @Override
  public String summary() {
    return "serve a platform document, with faults on demand";
  }

  @Override
  protected int run(PrintStream out) throws Exception {
    Either<List<Violation>, PlatformDocument> parsed =
        PlatformDocumentCodec.parse(Files.readAllBytes(document));
    if (parsed.isLeft()) {
      parsed.getLeft().forEach(violation -> System.err.println(document + ": " + violation));
      return EXIT_USAGE;
    }
    try (PlatformStandIn standIn = PlatformStandIn.start(host, port, parsed.get());
        LabHttpServer admin = LabHttpServer.create(host, adminPort, new PlatformAdmin(standIn))) {
      admin.start();
      out.println("document: " + standIn.url());
      out.println("admin: http://" + host + ":" + admin.port());
      new CountDownLatch(1).await();
    }
    return EXIT_SUCCESS;
  }
}
