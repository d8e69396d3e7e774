/** Load of backends: as stated by themselves, by the nodes beside them and by peers. */
package io.umberpath.traffic.load;
