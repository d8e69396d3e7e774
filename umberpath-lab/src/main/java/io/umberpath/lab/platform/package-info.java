/** The platform stand-in: its document, its lagging machine list and its faults. */
package io.umberpath.lab.platform;
