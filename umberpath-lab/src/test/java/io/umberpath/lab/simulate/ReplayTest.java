package io.umberpath.lab.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.SeededFault;
import io.umberpath.lab.simulate.SimulationSettings.Subject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplayTest {
  @TempDir private Path directory;

  @Test
  void aTraceRepeatsItsRun() throws IOException {
    Subject broken =
        new Subject(
            Subject.Kind.PRODUCT, Optional.of(SeededFault.ACTIVATE_UNCOMMITTED.name()), true);
    Simulation simulation =
        new Simulation(TestSettings.small(broken, FaultTable.named("kill-40-percent"), 1));
    SimulationReport report = simulation.run();
    Path file = directory.resolve("trace.jsonl");
    TraceFile.write(file, report, simulation.lastEvents());

    TraceFile.Trace trace = TraceFile.read(file);
    SimulationReport again = new Simulation(trace.settings()).run();

    assertThat(report.violations()).isNotEmpty();
    assertThat(TraceFile.Outcome.of(again)).isEqualTo(trace.outcome());
    assertThat(new ReplayCommand().run(new String[] {file.toString()})).isZero();
  }

  @Test
  void sharingStatesChangesNoEvent() {
    Subject alone = new Subject(Subject.Kind.PRODUCT, Optional.empty(), false);
    SimulationReport shared = run(Subject.PRODUCT);

    assertThat(run(alone).digest()).isEqualTo(shared.digest());
    assertThat(run(Subject.PRODUCT).digest()).isEqualTo(shared.digest());
  }

  private static SimulationReport run(Subject subject) {
    return new Simulation(TestSettings.small(subject, FaultTable.named("kill-40-percent"), 5))
        .run();
  }
}
