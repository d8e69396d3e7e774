/** The bench: figures of a real cluster under load and faults, each beside its limit. */
package io.umberpath.lab.bench;
