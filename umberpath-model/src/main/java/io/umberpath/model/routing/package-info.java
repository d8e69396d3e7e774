/** Routes, services and backends as defined by an external ordered store. */
package io.umberpath.model.routing;
