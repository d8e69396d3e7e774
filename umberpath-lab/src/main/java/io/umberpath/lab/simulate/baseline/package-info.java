/**
 * Two simple ways to deliver configuration, run in the same simulator to compare bytes and
 * convergence. They keep none of the product's promises under failure.
 */
package io.umberpath.lab.simulate.baseline;
