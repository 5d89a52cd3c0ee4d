/**
 * HTTP/1.1 (RFC 9110, RFC 9112): strict parsing with size limits, writing, and the order of exchanges on one
 * connection. Not thread-safe: an object belongs to the loop thread of its connection.
 */
package rowanmoor.http;
