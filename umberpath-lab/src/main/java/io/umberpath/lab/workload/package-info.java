/** What callers ask and what a whole answer is; shared by callers and back-end stand-ins. */
package io.umberpath.lab.workload;
