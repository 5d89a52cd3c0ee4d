/**
 * Encoding and incremental decoding of RESP2 arrays of bulk strings: strict, bounded, without I/O. A reader
 * is confined to the thread of its connection.
 */
package rowanmoor.resp;
