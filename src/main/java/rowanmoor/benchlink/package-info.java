/** Runs the decision module on the bench's wire: codec and loop. Decides nothing. */
package rowanmoor.benchlink;
