package io.umberpath.node.mesh;

/**
 * Names of the headers exchanged with clients and backends.
 *
 * @param requestId id of one attempt of a client; every response echoes it
 * @param deadline milliseconds until the client gives up
 * @param expectedInstance the only backend that may run the request
 * @param callerService service of the node where the request entered the mesh
 * @param notExecuted in a response: the backend did not run the request
 * @param instance in a response: id of the backend that sent it
 * @param backendLoad in a response: the backend's own load report, see {@link
 *     StoreItemParser#parseStatement}
 * @param requestLimit in a response: the most requests per second that the backend accepts from all
 *     nodes together, see {@link StoreItemParser#parseRequestLimit}
 * @param leaving in a response: the backend is about to end, see {@link
 *     StoreItemParser#parseLeaving}
 */
public record HeaderNames(
    String requestId,
    String deadline,
    String expectedInstance,
    String callerService,
    String notExecuted,
    String instance,
    String backendLoad,
    String requestLimit,
    String leaving) {}
