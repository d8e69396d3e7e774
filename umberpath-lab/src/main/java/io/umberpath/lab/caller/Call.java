package io.umberpath.lab.caller;

import com.google.common.hash.Hashing;
import io.umberpath.lab.workload.RequestKind;
import io.umberpath.lab.workload.WholeAnswer;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;

/**
 * One request and the one answer that is right for it.
 *
 * @param kind what it asks
 * @param requestId unique; sent and expected back
 * @param body request body; treated as immutable
 * @param fillerBytes filler it asks for
 */
record Call(RequestKind kind, String requestId, byte[] body, int fillerBytes) {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final String VERDICT = "Umberpath-Verdict";

  HttpRequest request(URI target, Duration timeout) {
    String query = "?" + WholeAnswer.FILLER_PARAMETER + "=" + fillerBytes;
    HttpRequest.BodyPublisher publisher =
        body.length == 0
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(body);
    return HttpRequest.newBuilder(target.resolve(kind.path() + "/" + requestId + query))
        .method(kind.method(), publisher)
        .header(WholeAnswer.REQUEST_ID, requestId)
        .timeout(timeout)
        .build();
  }

  CallOutcome judge(HttpResponse<byte[]> answer) {
    String verdict = answer.headers().firstValue(VERDICT).orElse("");
    if (verdict.startsWith("not-run;")) {
      return CallOutcome.NOT_RUN;
    }
    if (verdict.startsWith("may-have-run;")) {
      return CallOutcome.MAY_HAVE_RUN;
    }
    if (answer.statusCode() == UNAVAILABLE
        && answer.headers().firstValue("Retry-After").isPresent()) {
      return CallOutcome.SHED;
    }
    boolean own =
        answer.headers().firstValue(WholeAnswer.REQUEST_ID).filter(requestId::equals).isPresent();
    boolean right =
        answer.statusCode() == OK && own && Arrays.equals(answer.body(), expectedBody());
    return right ? CallOutcome.COMPLETED : CallOutcome.WRONG_ANSWER;
  }

  private byte[] expectedBody() {
    String digest = Hashing.sha256().hashBytes(body).toString();
    return WholeAnswer.of(requestId, kind, digest, body.length, fillerBytes);
  }
}
