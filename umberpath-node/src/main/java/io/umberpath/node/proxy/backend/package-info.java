/** What the node beside a back end knows of it: probes, phases, shedding, and what it publishes. */
package io.umberpath.node.proxy.backend;
