/** The demonstration: the whole path on real processes, every statement checked. */
package io.umberpath.lab.demo;
