/**
 * State of the local backend: health probes, phases, load shedding, and publication to the fleet.
 */
package io.umberpath.node.proxy.backend;
