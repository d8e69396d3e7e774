package io.umberpath.transport;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Finds null record components, elements and map values in decoded values. */
final class NullCheck {
  private static final ClassValue<List<Method>> ACCESSORS =
      new ClassValue<>() {
        @Override
        protected List<Method> computeValue(Class<?> type) {
          return Stream.of(type.getRecordComponents())
              .filter(component -> !component.getType().isPrimitive())
              .map(NullCheck::accessible)
              .toList();
        }
      };

  private NullCheck() {}

  private static Method accessible(RecordComponent component) {
    Method accessor = component.getAccessor();
    accessor.setAccessible(true);
    return accessor;
  }

  /** The place of the first null below and including a value, if there is one. */
  static Optional<String> firstNull(Object value) {
    return firstNull(value, "the value");
  }

  private static Optional<String> firstNull(Object value, String place) {
    if (value == null) {
      return Optional.of(place);
    }
    if (value instanceof Record part) {
      return inRecord(part);
    }
    if (value instanceof Iterable<?> elements) {
      return inElements(elements, place);
    }
    if (value instanceof Map<?, ?> map) {
      return inElements(map.values(), place);
    }
    if (value instanceof Optional<?> optional) {
      return optional.flatMap(content -> firstNull(content, place));
    }
    return Optional.empty();
  }

  private static Optional<String> inRecord(Record value) {
    for (Method accessor : ACCESSORS.get(value.getClass())) {
      String place = value.getClass().getSimpleName() + "." + accessor.getName();
      Optional<String> found = firstNull(read(accessor, value), place);
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  private static Optional<String> inElements(Iterable<?> elements, String place) {
    for (Object element : elements) {
      Optional<String> found = firstNull(element, place + " element");
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  private static Object read(Method accessor, Record value) {
    try {
      return accessor.invoke(value);
    } catch (IllegalAccessException | InvocationTargetException e) {
      throw new IllegalStateException("cannot read " + accessor, e);
    }
  }
}
