package io.umberpath.node.mesh;

/**
 * Tells a store client which items a node follows and how large they may be. The store also holds
 * what other clients write, in any size and number.
 */
public final class StoreItemFilter {
  /** Limit of a configuration, and of any value. */
  public static final int MAX_VALUE_BYTES = 4 * 1024 * 1024;

  /** Limit of a backend's entry: many times one with all fields. */
  static final int MAX_ENTRY_BYTES = 16 * 1024;

  private final StoreItemParser parser;

  /** Creates the filter for the keys that a parser recognizes. */
  public StoreItemFilter(StoreItemParser parser) {
    this.parser = parser;
  }

  /** Whether the node follows the item with this key. */
  public boolean isFollowed(String key) {
    return parser.isConfigurationKey(key)
        || parser.isBackendKey(key)
        || parser.evacuatedZone(key).isPresent();
  }

  /** Longest value that is of use; 0 if the value is not read. */
  public int maxValueBytes(String key) {
    if (parser.isConfigurationKey(key)) {
      return MAX_VALUE_BYTES;
    }
    return parser.isBackendKey(key) ? MAX_ENTRY_BYTES : 0;
  }
}
