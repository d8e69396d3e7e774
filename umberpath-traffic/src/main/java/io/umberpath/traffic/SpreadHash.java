package io.umberpath.traffic;

/** 64-bit hash for spreading, equal on every node; not for security. */
final class SpreadHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private SpreadHash() {}

  /** Mixes all bits of a number (finalizer of SplitMix64). */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Hashes a string. */
  static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Hashes an ordered pair. */
  static long hash(String first, String second) {
    return mix(hash(first) * FNV_PRIME + hash(second));
  }
}
