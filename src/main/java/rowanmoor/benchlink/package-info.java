/** Runs the routing policy on the test bench's binary protocol: decoder, encoder and request loop. */
package rowanmoor.benchlink;
