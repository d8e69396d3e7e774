/**
 * Pure: which nodes there are, which of them are out of reach, whom a node reports to, and which
 * nodes of a zone take on a task for it.
 */
package io.umberpath.control.membership;
