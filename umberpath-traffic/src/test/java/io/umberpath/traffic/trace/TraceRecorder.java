package io.umberpath.traffic.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.umberpath.model.Tier;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Records a trace of admission control at three times the capacity: prints JSON lines with the
 * decisions. Generated {@code recorded-overload.jsonl}.
 */
final class TraceRecorder {
  private static final int CALLS = 200;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TraceReplay replay = new TraceReplay();
  private final SplittableRandom random = new SplittableRandom(7);
  private final List<Long> running = new ArrayList<>();

  public static void main(String[] arguments) throws JsonProcessingException {
    new TraceRecorder().record();
  }

  private void record() throws JsonProcessingException {
    long now = 0;
    for (long id = 1; id <= CALLS; id++) {
      now += random.nextInt(4);
      TraceLine line = running.isEmpty() || random.nextInt(4) > 0 ? ask(now, id) : release(now);
      List<String> decided = replay.execute(line);
      decided.stream()
          .filter(text -> text.startsWith("admitted "))
          .forEach(text -> running.add(Long.parseLong(text.substring(9))));
      System.out.println(MAPPER.writeValueAsString(with(line, decided)));
    }
  }

  private TraceLine ask(long now, long id) {
    Tier tier = Tier.values()[random.nextInt(3)];
    String tenant = "tenant-" + random.nextInt(3);
    long deadline = now + 20 + random.nextInt(60);
    return new TraceLine(
        now, "ask", id, tenant, tier, deadline, null, null, null, null, null, null);
  }

  private TraceLine release(long now) {
    long id = running.remove(0);
    long micros = 2_000 + random.nextInt(16_000);
    return new TraceLine(
        now, "release", id, null, null, null, micros, null, null, null, null, null);
  }

  private static TraceLine with(TraceLine line, List<String> expect) {
    return new TraceLine(
        line.at(),
        line.call(),
        line.id(),
        line.tenant(),
        line.tier(),
        line.deadline(),
        line.micros(),
        line.backend(),
        line.verdict(),
        line.number(),
        line.names(),
        expect);
  }
}
