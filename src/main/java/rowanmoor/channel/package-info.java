/**
 * The binary protocol between controllers and proxies, specified in docs/channel.md. Encodes and decodes
 * frames with strict validation and bounded memory.
 *
 * <p>Threading: frames are immutable; a {@link rowanmoor.channel.FrameReader} is confined to the event loop
 * of its connection.
 */
package rowanmoor.channel;
