/**
 * At most one run of a request that callers may repeat under the same id; design note 0004. An edge
 * proxy claims the id at a quorum of a fixed-size group of registrars before the request runs
 * ({@link io.umberpath.traffic.requestid.RequestIdClaim}); each registrar remembers ids for a
 * retention time ({@link io.umberpath.traffic.requestid.RequestIdRegistrar}). Pure: the owner
 * carries the messages.
 */
package io.umberpath.traffic.requestid;
