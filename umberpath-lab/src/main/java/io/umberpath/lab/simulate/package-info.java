/**
 * Whole fleets of control state machines in virtual time, in one thread of one process. A seed
 * decides every random choice, so equal settings give equal events and a failure can be replayed.
 */
package io.umberpath.lab.simulate;
