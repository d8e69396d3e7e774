package io.umberpath.lab.bench;

import io.umberpath.lab.workload.RequestKind;
import io.umberpath.lab.workload.WholeAnswer;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Uploads whose last bytes are held back until {@link #finish}. */
final class SlowUploads {
  private static final int OK = 200;
  private static final int FIRST_PART_BYTES = 65_536;

  private final CountDownLatch held = new CountDownLatch(1);
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(executor).build();
  private final List<CompletableFuture<HttpResponse<Void>>> answers = new ArrayList<>();

  /** Starts uploads to the targets in turn; their first parts are sent at once. */
  void start(List<URI> targets, int count) {
    for (int number = 0; number < count; number++) {
      String requestId = "held-upload-" + number;
      URI uri =
          targets
              .get(number % targets.size())
              .resolve(RequestKind.UPLOADS.path() + "/" + requestId);
      HttpRequest request =
          HttpRequest.newBuilder(uri)
              .PUT(HttpRequest.BodyPublishers.ofInputStream(HeldBody::new))
              .header(WholeAnswer.REQUEST_ID, requestId)
              .build();
      answers.add(client.sendAsync(request, HttpResponse.BodyHandlers.discarding()));
    }
  }

  /** Lets the uploads end; returns how many did not complete. */
  int finish() {
    held.countDown();
    int cut = 0;
    for (CompletableFuture<HttpResponse<Void>> answer : answers) {
      boolean completed =
          answer.handle((got, failure) -> failure == null && got.statusCode() == OK).join();
      cut += completed ? 0 : 1;
    }
    executor.shutdown();
    return cut;
  }

  /** A body that pauses after its first part. */
  private final class HeldBody extends InputStream {
    private int sent;

    @Override
    public int read() {
      if (sent == FIRST_PART_BYTES) {
        awaitRelease();
      }
      return sent++ < 2 * FIRST_PART_BYTES ? 'x' : -1;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) {
      int first = read();
      if (first < 0) {
        return -1;
      }
      int rest = Math.min(length, FIRST_PART_BYTES - (sent - 1) % FIRST_PART_BYTES) - 1;
      buffer[offset] = (byte) first;
      java.util.Arrays.fill(buffer, offset + 1, offset + 1 + rest, (byte) 'x');
      sent += rest;
      return rest + 1;
    }

    private void awaitRelease() {
      try {
        held.await();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
