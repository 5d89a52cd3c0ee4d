/** Runs the decision module on the bench's wire: codec, settings parser and loop. Decides nothing. */
package rowanmoor.benchlink;
