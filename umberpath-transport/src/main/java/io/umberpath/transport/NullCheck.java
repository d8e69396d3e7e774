package io.umberpath.transport;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Finds null record components, collection elements and map values in decoded objects. */
final class NullCheck {
  private static final ClassValue<List<Method>> ACCESSORS =
      new ClassValue<>() {
        @Override
        protected List<Method> computeValue(Class<?> type) {
          return Stream.of(type.getRecordComponents())
              .filter(component -> !component.getType().isPrimitive())
              .map(NullCheck::accessibleAccessor)
              .toList();
        }
      };

  private NullCheck() {}

  private static Method accessibleAccessor(RecordComponent component) {
    Method accessor = component.getAccessor();
    accessor.setAccessible(true);
    return accessor;
  }

  /** Returns the path of the first null in an object graph, including its root, if any. */
  static Optional<String> findFirstNull(Object value) {
    return findFirstNull(value, "the value");
  }

  private static Optional<String> findFirstNull(Object value, String path) {
    if (value == null) {
      return Optional.of(path);
    }
    if (value instanceof Record record) {
      return findInRecord(record);
    }
    if (value instanceof Iterable<?> elements) {
      return findInElements(elements, path);
    }
    if (value instanceof Map<?, ?> map) {
      return findInElements(map.values(), path);
    }
    if (value instanceof Optional<?> optional) {
      return optional.flatMap(content -> findFirstNull(content, path));
    }
    return Optional.empty();
  }

  private static Optional<String> findInRecord(Record value) {
    for (Method accessor : ACCESSORS.get(value.getClass())) {
      String path = value.getClass().getSimpleName() + "." + accessor.getName();
      Optional<String> found = findFirstNull(invokeAccessor(accessor, value), path);
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  private static Optional<String> findInElements(Iterable<?> elements, String path) {
    for (Object element : elements) {
      Optional<String> found = findFirstNull(element, path + " element");
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  private static Object invokeAccessor(Method accessor, Record value) {
    try {
      return accessor.invoke(value);
    } catch (IllegalAccessException | InvocationTargetException e) {
      throw new IllegalStateException("cannot invoke " + accessor, e);
    }
  }
}
