package io.umberpath.node.diagnostics;

import java.util.Arrays;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.DefaultMemoryManagerFactory;
import org.glassfish.grizzly.memory.HeapBuffer;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Memory manager for tests and soak runs that overwrites each buffer on release, so that every use
 * after release is visible, not only one after the memory was reused. Enabled by setting the system
 * property {@link DefaultMemoryManagerFactory#DMMF_PROP_NAME} to this class.
 */
public final class OverwritingMemory implements DefaultMemoryManagerFactory {
  /** Fill byte of released memory. */
  public static final byte RELEASED = '~';

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public MemoryManager createMemoryManager() {
    return new Manager();
  }

  private static final class Manager extends HeapMemoryManager {
    @Override
    public HeapBuffer allocate(int size) {
      return new OverwritingBuffer(new byte[size], 0, size);
    }

    @Override
    public HeapBuffer allocateAtLeast(int size) {
      return allocate(size);
    }

    @Override
    public HeapBuffer reallocate(HeapBuffer old, int newSize) {
      int copiedBytes = Math.min(old.position(), newSize);
      HeapBuffer larger = allocate(newSize);
      larger.put(old, 0, copiedBytes);
      old.tryDispose();
      return larger;
    }

    @Override
    public void release(HeapBuffer buffer) {
      buffer.dispose();
    }
  }

  /** A buffer that owns a range of an array; its slices and duplicates own nothing. */
  private static final class OverwritingBuffer extends HeapBuffer {
    OverwritingBuffer(byte[] heap, int offset, int capacity) {
      super(heap, offset, capacity);
    }

    @Override
    public void dispose() {
      byte[] array = heap;
      int from = offset;
      int to = offset + cap;
      super.dispose();
      Arrays.fill(array, from, to, RELEASED);
    }

    @Override
    public Buffer split(int splitPosition) {
      checkDispose();
      if (splitPosition < 0 || splitPosition > cap) {
        throw new IllegalArgumentException("split at " + splitPosition + " of " + cap);
      }
      OverwritingBuffer tail =
          new OverwritingBuffer(heap, offset + splitPosition, cap - splitPosition);
      int limit = lim;
      int position = pos;
      cap = splitPosition;
      lim = Math.min(limit, splitPosition);
      pos = Math.min(position, splitPosition);
      mark = mark > pos ? -1 : mark;
      tail.limit(Math.max(0, limit - splitPosition));
      tail.position(Math.max(0, position - splitPosition));
      tail.order(order());
      tail.allowBufferDispose(allowBufferDispose());
      byteBuffer = null;
      return tail;
    }
  }
}
