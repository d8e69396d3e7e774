/**
 * The vocabulary shared by every module: resources, versions, snapshots, deltas, the platform's
 * document, the reference check and verdicts. Everything here is immutable and free of I/O.
 */
package io.umberpath.model;
