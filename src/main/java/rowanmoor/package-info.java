/**
 * The decisions of a controller ({@link rowanmoor.RoutingPolicy}) and the interface through which they are
 * made ({@link rowanmoor.ControlApi}), independent of any I/O and wire format.
 */
package rowanmoor;
