package io.umberpath.node.clock;

import com.sun.jna.Function;
import com.sun.jna.NativeLibrary;
import java.util.function.LongSupplier;

/**
 * Milliseconds on a clock that rises steadily, does not follow changes of the time of day, and also
 * counts the time in which the machine is suspended. The runtime's own steady clock stands still
 * then, and whatever was heard before a suspension would look as young after it. Thread-safe.
 *
 * <p>It is the steady clock, and the system's clock that counts suspensions ({@code
 * CLOCK_BOOTTIME}, clock_gettime(2)) is looked at each {@value #BOOT_CLOCK_INTERVAL_MILLIS} ms: a call of that
 * takes 0.4 to 0.9 microseconds, one of this clock 0.06 (means of a million calls, first compiler
 * only, beside other work). Opening takes 10 ms.
 */
public final class BootClock implements LongSupplier {
  /**
   * Time on the steady clock after which the other one is looked at: so late a suspension shows.
   */
  private static final long BOOT_CLOCK_INTERVAL_MILLIS = 5;

  /** Smaller differences of the two clocks are of rounding, milliseconds. */
  private static final long MIN_SUSPENSION_MILLIS = 20;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Where the clock comes from. */
  public enum Source {
    /** It counts suspended time. */
    BOOT_TIME,
    /** The system offers no such clock: the runtime's steady one, which does not. */
    STEADY
  }

  private final Source source;
  private final LongSupplier steadyMillis;
  private final LongSupplier bootMillis;

  /** What the steady clock lacks; changes only by a suspension. */
  private volatile long offsetMillis;

  private volatile long lastReadMillis;

  /**
   * Creates a clock.
   *
   * @param steadyMillis may stand still while the machine is suspended
   * @param bootMillis counts that time
   */
  BootClock(Source source, LongSupplier steadyMillis, LongSupplier bootMillis) {
    this.source = source;
    this.steadyMillis = steadyMillis;
    this.bootMillis = bootMillis;
    this.lastReadMillis = steadyMillis.getAsLong();
    this.offsetMillis = bootMillis.getAsLong() - lastReadMillis;
  }

  /** The best clock that the system offers. */
  public static BootClock open() {
    LongSupplier steady = () -> System.nanoTime() / NANOS_PER_MILLI;
    try {
      return new BootClock(Source.BOOT_TIME, steady, SystemClock::bootMillis);
    } catch (LinkageError notOffered) {
      return new BootClock(Source.STEADY, steady, steady);
    }
  }

  /** Where it comes from. */
  public Source source() {
    return source;
  }

  @Override
  public long getAsLong() {
    long steady = steadyMillis.getAsLong();
    if (steady - lastReadMillis >= BOOT_CLOCK_INTERVAL_MILLIS) {
      readBootClock(steady);
    }
    return steady + offsetMillis;
  }

  private synchronized void readBootClock(long steady) {
    lastReadMillis = steady;
    long offset = bootMillis.getAsLong() - steadyMillis.getAsLong();
    if (offset - offsetMillis >= MIN_SUSPENSION_MILLIS) {
      offsetMillis = offset;
    }
  }

  /** The system's clock that counts suspensions, through its C library. */
  private static final class SystemClock {
    private static final int CLOCK_BOOTTIME = 7;
    private static final String JNA_TEMP_DIRECTORY = "jna.tmpdir";
    private static final String JNA_LIBRARY_PATH = "jna.platform.library.path";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final Function CLOCK_GET_TIME;

    /** Seconds and nanoseconds; guarded by the class's lock. */
    private static final long[] TIME = new long[2];

    private static final Object[] ARGUMENTS = {CLOCK_BOOTTIME, TIME};

    static {
      setIfAbsent(JNA_TEMP_DIRECTORY, System.getProperty("java.io.tmpdir"));
      // The function is in the process already. Else the library asks the linker's own program for
      // its folders, a process more at each start.
      setIfAbsent(JNA_LIBRARY_PATH, "");
      // Called by name: a class bound to the library takes the layout of all types at each start.
      CLOCK_GET_TIME = NativeLibrary.getProcess().getFunction("clock_gettime");
    }

    private SystemClock() {}

    /** The library's own choice of a folder to unpack is one of the user's, maybe read-only. */
    private static void setIfAbsent(String property, String value) {
      if (System.getProperty(property) == null) {
        System.setProperty(property, value);
      }
    }

    static synchronized long bootMillis() {
      CLOCK_GET_TIME.invokeInt(ARGUMENTS);
      return TIME[0] * MILLIS_PER_SECOND + TIME[1] / NANOS_PER_MILLI;
    }
  }
}
