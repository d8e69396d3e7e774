/** The {@code umberpath} command line: subcommands, exit codes and the change file. */
package io.umberpath.node.cli;
