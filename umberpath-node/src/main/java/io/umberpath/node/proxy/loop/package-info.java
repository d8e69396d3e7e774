/** How late the selector threads read, and so how old what they read may be. */
package io.umberpath.node.proxy.loop;
