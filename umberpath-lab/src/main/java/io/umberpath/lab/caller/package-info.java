/**
 * Open-loop callers. They speak HTTP through the JDK's client, an implementation independent of the
 * proxy's, so that a fault of its codec cannot cancel out.
 */
package io.umberpath.lab.caller;
