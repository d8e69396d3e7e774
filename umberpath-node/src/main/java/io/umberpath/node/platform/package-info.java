/** The client of the platform's read-only configuration service. */
package io.umberpath.node.platform;
