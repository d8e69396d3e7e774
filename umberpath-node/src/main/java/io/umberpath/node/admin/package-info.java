/** The admin port: metrics, liveness, readiness and the node's own status, over HTTP. */
package io.umberpath.node.admin;
