/** Failure rates of backends, and how much less a failing one is used. */
package io.umberpath.traffic.outlier;
