/**
 * Follows an external ordered store that this node can only read, and decides when to adopt what
 * another node has read. The classes do no I/O and read no clock.
 */
package io.umberpath.control.store;
