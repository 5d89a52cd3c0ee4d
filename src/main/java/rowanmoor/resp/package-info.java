/**
 * RESP2 arrays of bulk strings: reading from bytes that come in any pieces, and writing. Job: framing only;
 * strict, bounded, no I/O. Thread rule: a reader belongs to its connection's thread.
 */
package rowanmoor.resp;
