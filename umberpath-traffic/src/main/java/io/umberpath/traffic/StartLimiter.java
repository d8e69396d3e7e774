package io.umberpath.traffic;

/** Limits when requests may start at a backend, in addition to its slots. Thread-safe. */
public interface StartLimiter {
  /** Allows every start. */
  StartLimiter UNLIMITED =
      new StartLimiter() {
        @Override
        public boolean canStart(long nowMillis) {
          return true;
        }

        @Override
        public void recordStart(long nowMillis) {}

        @Override
        public double waitMillis(long nowMillis, int requestsAhead) {
          return 0;
        }

        @Override
        public int usableSlots(long nowMillis, int slots, long serviceMicros) {
          return slots;
        }
      };

  /** Whether one more request may start now. */
  boolean canStart(long nowMillis);

  /** Records the start of a request. */
  void recordStart(long nowMillis);

  /** Time until a request with that many others ahead of it may start, milliseconds. */
  double waitMillis(long nowMillis, int requestsAhead);

  /**
   * Concurrency that the limit allows: all slots while that many more requests may start at once,
   * otherwise as many as its rate keeps busy.
   *
   * @param serviceMicros mean time that a request holds a slot, microseconds
   */
  int usableSlots(long nowMillis, int slots, long serviceMicros);

  /** Time between two starts at a constant rate, milliseconds; 0 if no such rate is in force. */
  default double intervalMillis() {
    return 0;
  }

  /** Records that a request was refused, whatever the reason. */
  default void recordRefusal(long nowMillis) {}
}
