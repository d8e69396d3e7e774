/** The back-end stand-in: slots, connections, service times, faults and a record of what ran. */
package io.umberpath.lab.backend;
