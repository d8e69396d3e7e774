/** The {@code umberpath} command: subcommands, exit codes, the change file. */
package io.umberpath.node.cli;
