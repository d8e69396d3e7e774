package io.umberpath.traffic.routing;

/**
 * Load of the link over which a backend receives long request bodies. The link carries them one
 * after the other, while the slots of the backend may be free.
 *
 * @param outstanding bodies that are being received or wait for the link
 * @param bodyMicros mean time that the link needs for one body, microseconds; 0 if not known
 */
public record UploadLoad(int outstanding, long bodyMicros) {
  /** No body was received yet. */
  public static final UploadLoad NONE = new UploadLoad(0, 0);

  /** Raises negative values, which another node may report, to 0. */
  public UploadLoad {
    outstanding = Math.max(0, outstanding);
    bodyMicros = Math.max(0, bodyMicros);
  }

  /** Whether a body has been received, so that there is something to report. */
  public boolean isKnown() {
    return bodyMicros > 0;
  }
}
