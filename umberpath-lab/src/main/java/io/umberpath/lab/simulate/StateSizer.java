package io.umberpath.lab.simulate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.umberpath.model.FleetState;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.StateDeltas;

/** Tells how many bytes the whole state and the whole document take as CBOR. */
final class StateSizer {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(new CBORFactory()).addModule(new Jdk8Module()).build();

  private StateSizer() {}

  static int bytes(FleetState state) {
    return encoded(StateDeltas.wholeState(state));
  }

  static int bytes(PlatformDocument document) {
    return encoded(document);
  }

  private static int encoded(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode " + value.getClass().getName(), e);
    }
  }
}
