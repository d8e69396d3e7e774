/**
 * Types shared by all modules: resources, versions, snapshots, deltas, the platform document, the
 * reference check and verdicts. Everything here is immutable and free of I/O.
 */
package io.umberpath.model;
