package io.umberpath.traffic.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

final class RequestFingerprintTest {
  @Test
  void eachPartOfTheTargetChangesTheHash() {
    long target = RequestFingerprint.hashTarget("GET", "shop.example", "/a/1?x=2", "Token k");

    assertThat(RequestFingerprint.hashTarget("GET", "shop.example", "/a/1?x=2", "Token k"))
        .isEqualTo(target);
    assertThat(RequestFingerprint.hashTarget("PUT", "shop.example", "/a/1?x=2", "Token k"))
        .isNotEqualTo(target);
    assertThat(RequestFingerprint.hashTarget("GET", "pay.example", "/a/1?x=2", "Token k"))
        .isNotEqualTo(target);
    assertThat(RequestFingerprint.hashTarget("GET", "shop.example", "/a/1?x=3", "Token k"))
        .isNotEqualTo(target);
    assertThat(RequestFingerprint.hashTarget("GET", "shop.example", "/a/1?x=2", null))
        .isNotEqualTo(target);
  }

  @Test
  void partsAreSeparatedInTheHash() {
    assertThat(RequestFingerprint.hashTarget("GET", "a", "b", null))
        .isNotEqualTo(RequestFingerprint.hashTarget("GET", "ab", "", null));
  }

  @Test
  void onlyThePrefixOfALongBodyIsHashed() {
    byte[] body = new byte[RequestFingerprint.BODY_PREFIX_BYTES + 5];
    byte[] sameBeginning = Arrays.copyOf(body, body.length + 100);
    byte[] other = body.clone();
    other[RequestFingerprint.BODY_PREFIX_BYTES - 1] = 1;

    assertThat(RequestFingerprint.hashBody(sameBeginning))
        .isEqualTo(RequestFingerprint.hashBody(body));
    assertThat(RequestFingerprint.hashBody(other)).isNotEqualTo(RequestFingerprint.hashBody(body));
  }
}
