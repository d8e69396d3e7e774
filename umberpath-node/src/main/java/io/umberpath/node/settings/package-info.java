/**
 * Settings of a node, read from a YAML file and flags. Validation reports every problem in one
 * pass, with its line, field and value. The command line reads change files with the same {@link
 * io.umberpath.node.settings.MappingReader}.
 */
package io.umberpath.node.settings;
