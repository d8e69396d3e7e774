package io.umberpath.lab.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FaultFileTest {
  @Test
  void readsEvents() {
    String text =
        """
        faults:
          - {at: 5s, kind: kill, target: "fraction:0.4", for: 2s}
          - {at: 7s, kind: partition, target: "zone:1", for: 10s, direction: out}
        """;

    assertThat(FaultFile.parse("faults.yaml", text).get())
        .extracting(FaultEvent::kind)
        .containsExactly(FaultEvent.Kind.KILL, FaultEvent.Kind.PARTITION);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "at: soon, kind: kill | line 2 | at = 'soon'",
        "at: 5s, kind: explode | line 2 | faults[0].kind",
        "at: 5s, kind: pause | line 2 | for = ''",
        "at: 5s, kind: kill, target: everyone | line 2 | target = 'everyone'",
        "at: 5s, kind: loss, for: 1s, probability: 2 | line 2 | probability = '2.0'",
        "at: 5s, kind: kill, whom: leader | line 2 | whom",
        "at: 5s, kind: platform, for: 1s | line 2 | mode = ''"
      })
  void namesLineFieldAndValue(String event, String line, String field) {
    String error = FaultFile.parse("f.yaml", "faults:\n  - {" + event + "}\n").getLeft();

    assertThat(error).contains("f.yaml").contains(line).contains(field);
  }
}
