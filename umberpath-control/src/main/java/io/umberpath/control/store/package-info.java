/**
 * Pure: how a node follows an external ordered store that it can only read, and when it takes what
 * another node has read.
 */
package io.umberpath.control.store;
