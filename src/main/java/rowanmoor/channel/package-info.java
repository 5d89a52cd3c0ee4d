/**
 * The protocol between controllers and proxies, laid out in docs/channel.md. Job: frames to bytes and
 * back, strict and bounded. Thread rule: frames do not change; a {@link rowanmoor.channel.FrameReader}
 * belongs to its connection's loop.
 */
package rowanmoor.channel;
