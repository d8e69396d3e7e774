/** A whole deployment on loopback: platform, back ends and one process per node. */
package io.umberpath.lab.cluster;
