package io.umberpath.node.cli;

import io.umberpath.api.v1.FleetStatusRequest;
import io.umberpath.api.v1.FleetStatusResponse;
import io.umberpath.api.v1.WatchStatusRequest;
import io.vavr.control.Either;
import java.util.Iterator;
import org.kohsuke.args4j.Option;

/** Shows the fleet. */
final class StatusCommand extends OperatorCommand {
  @Option(name = "--watch", usage = "print again whenever it changes, until --timeout")
  private boolean watch;

  @Override
  ExitCode run(Output output) throws UsageException {
    if (!watch) {
      return print(
          output,
          read(server -> server.fleetStatus(FleetStatusRequest.getDefaultInstance())),
          Texts::status);
    }
    Either<CallFailure, FleetStatusResponse> last =
        read(
            server -> {
              Iterator<FleetStatusResponse> reports =
                  server.watchStatus(WatchStatusRequest.getDefaultInstance());
              FleetStatusResponse report = reports.next();
              while (true) {
                print(output, Either.right(report), Texts::status);
                report = reports.next();
              }
            });
    return print(output, last, Texts::status);
  }
}
