/**
 * Adapter between the platform's protocol and the decision module. {@code Messages}, {@code Translator},
 * {@code InstanceRegistry} and {@code CatalogView} do no I/O; {@code PlatformController}, {@code Peer} and
 * {@code CatalogClient} run on the event loop. This package makes no decisions and holds no tables or tuned
 * values. Threading: all classes belong to the loop's thread; only {@code AsyncLineLog} writes and
 * {@code ConfigFile} reads on threads of their own.
 */
package rowanmoor.platform;
