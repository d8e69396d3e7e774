package io.umberpath.node.operator;

import io.grpc.ForwardingServerCall;
import io.grpc.ForwardingServerCallListener;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Limits the calls in flight, in total and per tenant. Long-running calls have a separate limit so
 * that they cannot starve short ones. Thread-safe.
 */
final class CallLimiter implements ServerInterceptor {
  private static final Set<String> LONG_CALLS = Set.of("Wait", "WatchStatus");

  private final CallLimit shortCalls;
  private final CallLimit longCalls;

  /**
   * Creates a limiter.
   *
   * @param maxShort maximum number of short calls in flight
   * @param maxLong maximum number of waiting or streaming calls in flight
   * @param maxPerTenant maximum number of calls of either kind per tenant
   */
  CallLimiter(int maxShort, int maxLong, int maxPerTenant) {
    this.shortCalls = new CallLimit(maxShort, maxPerTenant);
    this.longCalls = new CallLimit(maxLong, maxPerTenant);
  }

  /** A total limit and a limit per tenant. */
  private static final class CallLimit {
    private final Semaphore totalPermits;
    private final int perTenant;
    private final Map<String, Semaphore> permitsByTenant = new ConcurrentHashMap<>();

    CallLimit(int all, int perTenant) {
      this.totalPermits = new Semaphore(all);
      this.perTenant = perTenant;
    }

    boolean tryAcquire(String tenant) {
      if (!tenantPermits(tenant).tryAcquire()) {
        return false;
      }
      if (!totalPermits.tryAcquire()) {
        tenantPermits(tenant).release();
        return false;
      }
      return true;
    }

    void release(String tenant) {
      totalPermits.release();
      tenantPermits(tenant).release();
    }

    private Semaphore tenantPermits(String tenant) {
      return permitsByTenant.computeIfAbsent(tenant, name -> new Semaphore(perTenant));
    }
  }

  @Override
  public <RequestT, ResponseT> ServerCall.Listener<RequestT> interceptCall(
      ServerCall<RequestT, ResponseT> call,
      Metadata headers,
      ServerCallHandler<RequestT, ResponseT> next) {
    String tenant = Principal.KEY.get().tenant();
    boolean isLongCall = LONG_CALLS.contains(call.getMethodDescriptor().getBareMethodName());
    CallLimit bound = isLongCall ? longCalls : shortCalls;
    if (!bound.tryAcquire(tenant)) {
      OperatorError error = OperatorError.overloaded("too many calls in flight; try again later");
      call.close(error.toStatus(), error.toTrailers());
      return new ServerCall.Listener<>() {};
    }
    Permit permit = new Permit(bound, tenant);
    ServerCall<RequestT, ResponseT> releasing =
        new ForwardingServerCall.SimpleForwardingServerCall<>(call) {
          @Override
          public void close(Status status, Metadata trailers) {
            permit.release();
            super.close(status, trailers);
          }
        };
    ServerCall.Listener<RequestT> listener;
    try {
      listener = next.startCall(releasing, headers);
    } catch (RuntimeException failure) {
      permit.release();
      throw failure;
    }
    return new ForwardingServerCallListener.SimpleForwardingServerCallListener<>(listener) {
      @Override
      public void onCancel() {
        permit.release();
        super.onCancel();
      }
    };
  }

  /** Released once, by close or cancellation, whichever comes first. */
  private static final class Permit {
    private final AtomicBoolean released = new AtomicBoolean();
    private final CallLimit bound;
    private final String tenant;

    Permit(CallLimit bound, String tenant) {
      this.bound = bound;
      this.tenant = tenant;
    }

    void release() {
      if (released.compareAndSet(false, true)) {
        bound.release(tenant);
      }
    }
  }
}
