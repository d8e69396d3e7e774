/** Small HTTP servers of the lab's stand-ins, on Grizzly. */
package io.umberpath.lab.http;
