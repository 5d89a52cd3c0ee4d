/**
 * HTTP/1.1 messages (RFC 9110, RFC 9112). Job: strict, bounded parsing and writing, and the order of
 * exchanges on one connection. Thread rule: an object belongs to the loop thread of its connection.
 */
package rowanmoor.http;
