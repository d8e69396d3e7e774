package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class MeshEventTest {
  @ParameterizedTest
  @EnumSource(MeshEvent.class)
  void everyEventIsDocumentedForOperators(MeshEvent event) throws IOException {
    String page = Files.readString(Path.of("../docs/OPERATIONS.md"));

    assertThat(page).contains("`" + event.label() + "`");
  }
}
