/** Routes, services and back ends as an external ordered store states them. */
package io.umberpath.model.routing;
