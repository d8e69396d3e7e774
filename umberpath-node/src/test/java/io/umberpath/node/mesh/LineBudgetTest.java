package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class LineBudgetTest {
  @Test
  void allowsSoManyLinesASecondAndCountsTheRest() {
    LineBudget budget = new LineBudget(2);

    assertThat(budget.take(100)).isTrue();
    assertThat(budget.take(200)).isTrue();
    assertThat(budget.take(300)).isFalse();
    assertThat(budget.take(1_100)).isTrue();

    assertThat(budget.takeDropped()).isEqualTo(1);
    assertThat(budget.takeDropped()).isZero();
  }
}
