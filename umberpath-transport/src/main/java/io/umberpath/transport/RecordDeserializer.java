package io.umberpath.transport;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.deser.BeanDeserializerModifier;
import com.fasterxml.jackson.databind.deser.ResolvableDeserializer;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Deserializes a record from an array that holds exactly its components. Needed because Jackson's
 * own array deserializer silently skips surplus elements.
 */
final class RecordDeserializer extends StdDeserializer<Object> implements ResolvableDeserializer {
  private static final long serialVersionUID = 1L;

  private final transient RecordComponent[] components;
  private final transient Constructor<?> constructor;
  private final transient List<JsonDeserializer<Object>> componentDeserializers = new ArrayList<>();

  private RecordDeserializer(Class<?> type) throws NoSuchMethodException {
    super(type);
    components = type.getRecordComponents();
    constructor =
        type.getDeclaredConstructor(
            Stream.of(components).map(RecordComponent::getType).toArray(Class<?>[]::new));
    constructor.setAccessible(true);
  }

  /** Creates a Jackson module that applies this deserializer to all records. */
  static SimpleModule module() {
    return new SimpleModule().setDeserializerModifier(new RecordDeserializerModifier());
  }

  @Override
  public void resolve(DeserializationContext context) throws JsonMappingException {
    for (RecordComponent component : components) {
      componentDeserializers.add(
          context.findRootValueDeserializer(context.constructType(component.getGenericType())));
    }
  }

  @Override
  public Object deserialize(JsonParser parser, DeserializationContext context) throws IOException {
    if (!parser.isExpectedStartArrayToken()) {
      return context.reportInputMismatch(this, "expected an array of record components");
    }
    Object[] values = new Object[components.length];
    for (int index = 0; index < values.length; index++) {
      values[index] = readComponent(index, parser, context);
    }
    if (parser.nextToken() != JsonToken.END_ARRAY) {
      return context.reportInputMismatch(this, "more than %d components", values.length);
    }
    return construct(values, context);
  }

  private Object readComponent(int index, JsonParser parser, DeserializationContext context)
      throws IOException {
    JsonToken token = parser.nextToken();
    if (token == JsonToken.END_ARRAY) {
      return context.reportInputMismatch(this, "missing components: found only %d", index);
    }
    try {
      return token == JsonToken.VALUE_NULL
          ? componentDeserializers.get(index).getNullValue(context)
          : componentDeserializers.get(index).deserialize(parser, context);
    } catch (JsonMappingException e) {
      e.prependPath(handledType(), components[index].getName());
      throw e;
    }
  }

  private Object construct(Object[] values, DeserializationContext context) throws IOException {
    try {
      return constructor.newInstance(values);
    } catch (InvocationTargetException e) {
      return context.handleInstantiationProblem(handledType(), null, e.getCause());
    } catch (ReflectiveOperationException e) {
      return context.handleInstantiationProblem(handledType(), null, e);
    }
  }

  /** Replaces Jackson's deserializers for records. */
  private static final class RecordDeserializerModifier extends BeanDeserializerModifier {
    private static final long serialVersionUID = 1L;

    @Override
    public JsonDeserializer<?> modifyDeserializer(
        DeserializationConfig config, BeanDescription type, JsonDeserializer<?> original) {
      if (!type.getBeanClass().isRecord()) {
        return original;
      }
      try {
        return new RecordDeserializer(type.getBeanClass());
      } catch (NoSuchMethodException e) {
        throw new IllegalStateException("record has no canonical constructor", e);
      }
    }
  }
}
