/** The decision module and its interface, free of any wire. */
package rowanmoor;
