package io.umberpath.lab.cluster;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * What a node's admin page {@code /status} says, as far as the lab needs it.
 *
 * @param incarnation the process at that address
 * @param role its part in agreement
 * @param active version in force, {@code epoch.sequence}
 * @param activeRevision platform revision in force
 * @param reader whether it reads the platform
 * @param members members of the committed roster
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record NodeReport(
    long incarnation,
    String role,
    String active,
    long activeRevision,
    boolean reader,
    int members) {}
