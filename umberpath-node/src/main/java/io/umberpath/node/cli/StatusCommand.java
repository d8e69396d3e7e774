package io.umberpath.node.cli;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.umberpath.api.v1.ConfigurationGrpc.ConfigurationBlockingStub;
import io.umberpath.api.v1.FleetStatusRequest;
import io.umberpath.api.v1.FleetStatusResponse;
import io.umberpath.api.v1.WatchStatusRequest;
import io.vavr.control.Either;
import java.util.Iterator;
import org.kohsuke.args4j.Option;

/** Shows the status of the fleet. */
final class StatusCommand extends OperatorCommand {
  @Option(name = "--watch", usage = "print again whenever it changes, until --timeout")
  private boolean watch;

  @Override
  ExitCode run(Output output) throws UsageException {
    if (!watch) {
      return print(
          output,
          read(server -> server.fleetStatus(FleetStatusRequest.getDefaultInstance())),
          ResponseFormatter::status);
    }
    Either<CallFailure, FleetStatusResponse> last = read(server -> watchStatus(server, output));
    return last.isLeft() ? print(output, last, ResponseFormatter::status) : ExitCode.OK;
  }

  /** Prints each report until the deadline, which is the normal end of a watch. */
  private FleetStatusResponse watchStatus(ConfigurationBlockingStub server, Output output) {
    Iterator<FleetStatusResponse> reports =
        server.watchStatus(WatchStatusRequest.getDefaultInstance());
    FleetStatusResponse last = reports.next();
    try {
      while (true) {
        print(output, Either.right(last), ResponseFormatter::status);
        last = reports.next();
      }
    } catch (StatusRuntimeException failure) {
      if (failure.getStatus().getCode() != Status.Code.DEADLINE_EXCEEDED) {
        throw failure;
      }
      return last;
    }
  }
}
