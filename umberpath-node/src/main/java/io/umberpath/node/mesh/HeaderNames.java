package io.umberpath.node.mesh;

/**
 * Names of the headers that callers and back ends speak.
 *
 * @param requestId names one attempt of a caller; every answer carries it back
 * @param deadline milliseconds until the caller gives up
 * @param expectedInstance the only back end that may run the request
 * @param callerService service beside the node where the request began
 * @param notExecuted on an answer: the back end did not run the request
 * @param instance on an answer: the back end that gave it
 * @param backendLoad on an answer: what the back end says of its load, see {@link
 *     StoreDocuments#statement}
 */
public record HeaderNames(
    String requestId,
    String deadline,
    String expectedInstance,
    String callerService,
    String notExecuted,
    String instance,
    String backendLoad) {}
