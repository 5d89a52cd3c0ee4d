/** The command line. */
package rowanmoor.cli;
