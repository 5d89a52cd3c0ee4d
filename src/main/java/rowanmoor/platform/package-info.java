/**
 * The platform's protocol: one more way in and out of the module. {@code Messages}, {@code Translator},
 * {@code InstanceRegistry} and {@code CatalogView} do no I/O; {@code PlatformController}, {@code SocketPeer} and {@code CatalogClient} are on
 * the loop. No decision, no table and no tuned value is made here. Thread rule: all belongs to the loop's
 * thread; {@code AsyncLineLog} writes on a thread of its own.
 */
package rowanmoor.platform;
