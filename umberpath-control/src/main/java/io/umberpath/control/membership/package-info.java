/**
 * Tracks which nodes exist and which are unreachable, and decides whom a node reports to and which
 * nodes of a zone take on a task for it. The classes do no I/O and read no clock.
 */
package io.umberpath.control.membership;
