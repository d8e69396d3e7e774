/**
 * Pure decisions about requests under a configuration of an external store: which route, which part
 * of it, which back end, whether again.
 */
package io.umberpath.traffic.routing;
