package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Objects;

/**
 * A credential that routes send to their backends. Its value is never printed, logged or returned
 * to operators.
 *
 * @param name unique secret name
 * @param tenant owner
 * @param tier priority tier
 * @param value the credential's bytes (visible ASCII); treated as immutable
 */
public record Secret(String name, String tenant, Tier tier, byte[] value) implements Resource {
  @Override
  @JsonIgnore
  public ResourceKey key() {
    return new ResourceKey(ResourceKind.SECRET, name);
  }

  /** The value as sent in a header. */
  public String headerValue() {
    return new String(value, StandardCharsets.US_ASCII);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Secret that
        && name.equals(that.name)
        && tenant.equals(that.tenant)
        && tier == that.tier
        && MessageDigest.isEqual(value, that.value);
  }

  @Override
  public int hashCode() {
    return Objects.hash(name, tenant, tier, Arrays.hashCode(value));
  }

  @Override
  public String toString() {
    return "Secret[name=" + name + ", tenant=" + tenant + ", tier=" + tier + ", value=redacted]";
  }
}
