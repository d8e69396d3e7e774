package io.umberpath.control.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class TextPatchTest {
  private static final int RULES = 1_600;

  private final Random random = new Random(11);

  private static String rule(int name, int version) {
    return "{\"name\":\"r-%d\",\"match\":{\"prefix\":\"/p%d/\"},\"action\":{\"service\":\"s%d\"}}"
        .formatted(name, name, version);
  }

  private static String document(int version, List<String> rules) {
    return "{\"version\":\"r%d\",\"rules\":[%s]}".formatted(version, String.join(",", rules));
  }

  private static List<String> rules() {
    List<String> rules = new ArrayList<>();
    for (int name = 0; name < RULES; name++) {
      rules.add(rule(name, 0));
    }
    return rules;
  }

  private static void assertPatchReproduces(String old, String text, int maxInserted) {
    TextPatch patch = TextPatch.between(old, text);
    assertThat(patch.applyTo(old)).contains(text);
    assertThat(patch.insertedLength()).isLessThanOrEqualTo(maxInserted);
  }

  @Test
  void ruleEditsProducePatchesOfAFewHundredCharacters() {
    String old = document(1, rules());
    List<String> changed = rules();
    changed.set(900, rule(900, 7));
    assertPatchReproduces(old, document(2, changed), 200);

    List<String> added = rules();
    added.add(3, rule(RULES, 0));
    added.remove(1_200);
    added.add(800, added.remove(50));
    assertPatchReproduces(old, document(2, added), 300);
  }

  @Test
  void patchReproducesArbitraryText() {
    for (int trial = 0; trial < 2_000; trial++) {
      assertPatchReproduces(text(), text(), Integer.MAX_VALUE);
    }
  }

  /** Short texts over a small alphabet, so that segments repeat and separators are adjacent. */
  private String text() {
    StringBuilder text = new StringBuilder();
    int length = random.nextInt(24);
    for (int index = 0; index < length; index++) {
      text.append("{ab}ä".charAt(random.nextInt(5)));
    }
    return text.toString();
  }

  @Test
  void patchForADifferentBaseDoesNotApply() {
    String old = document(1, rules());
    List<String> changed = rules();
    changed.set(900, rule(900, 7));
    TextPatch patch = TextPatch.between(old, document(2, changed));
    List<String> other = rules();
    other.set(20, rule(20, 9));

    assertThat(patch.applyTo(document(1, other))).isEmpty();
    assertThat(patch.applyTo("")).isEmpty();
  }
}
