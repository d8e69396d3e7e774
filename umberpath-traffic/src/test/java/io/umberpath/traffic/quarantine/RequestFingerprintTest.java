package io.umberpath.traffic.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

final class RequestFingerprintTest {
  @Test
  void eachPartOfTheTargetChangesTheHash() {
    long target = RequestFingerprint.targetOf("GET", "shop.example", "/a/1?x=2", "Token k");

    assertThat(RequestFingerprint.targetOf("GET", "shop.example", "/a/1?x=2", "Token k"))
        .isEqualTo(target);
    assertThat(RequestFingerprint.targetOf("PUT", "shop.example", "/a/1?x=2", "Token k"))
        .isNotEqualTo(target);
    assertThat(RequestFingerprint.targetOf("GET", "pay.example", "/a/1?x=2", "Token k"))
        .isNotEqualTo(target);
    assertThat(RequestFingerprint.targetOf("GET", "shop.example", "/a/1?x=3", "Token k"))
        .isNotEqualTo(target);
    assertThat(RequestFingerprint.targetOf("GET", "shop.example", "/a/1?x=2", null))
        .isNotEqualTo(target);
  }

  @Test
  void partsAreSeparatedInTheHash() {
    assertThat(RequestFingerprint.targetOf("GET", "a", "b", null))
        .isNotEqualTo(RequestFingerprint.targetOf("GET", "ab", "", null));
  }

  @Test
  void onlyThePrefixOfALongBodyIsHashed() {
    byte[] body = new byte[RequestFingerprint.BODY_PREFIX_BYTES + 5];
    byte[] sameBeginning = Arrays.copyOf(body, body.length + 100);
    byte[] other = body.clone();
    other[RequestFingerprint.BODY_PREFIX_BYTES - 1] = 1;

    assertThat(RequestFingerprint.bodyOf(sameBeginning)).isEqualTo(RequestFingerprint.bodyOf(body));
    assertThat(RequestFingerprint.bodyOf(other)).isNotEqualTo(RequestFingerprint.bodyOf(body));
  }
}
