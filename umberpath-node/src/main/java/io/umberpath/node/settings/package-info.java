/**
 * Settings of a node, read from a YAML file and flags and checked whole: every problem is found in
 * one reading and named with its line, field and value. The command line reads change files with
 * the same {@link io.umberpath.node.settings.MappingReader}.
 */
package io.umberpath.node.settings;
