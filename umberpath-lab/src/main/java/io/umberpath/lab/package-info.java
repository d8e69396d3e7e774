/** Stand-ins, load and experiments: the tool that provokes, measures and shows the system. */
package io.umberpath.lab;
