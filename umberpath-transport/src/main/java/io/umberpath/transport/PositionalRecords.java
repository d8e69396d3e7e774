package io.umberpath.transport;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.NopAnnotationIntrospector;

/** Makes Jackson serialize every record as an array of its components, without their names. */
final class PositionalRecords extends NopAnnotationIntrospector {
  private static final long serialVersionUID = 1L;

  @Override
  public JsonFormat.Value findFormat(Annotated annotated) {
    boolean isRecord = annotated instanceof AnnotatedClass && annotated.getRawType().isRecord();
    return isRecord ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY) : null;
  }
}
