package rowanmoor.discovery;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import rowanmoor.ControlApi.Backend;

/** Backends' addresses as the module and as sockets know them. */
public final class Addresses {

    private Addresses() { }

    public static Backend toBackend(InetSocketAddress at) {
        return RosterResponse.toBackend(at);
    }

    public static InetSocketAddress toSocketAddress(Backend backend) {
        long id = backend.id() >>> 16;
        byte[] parts = {(byte) (id >> 24), (byte) (id >> 16), (byte) (id >> 8), (byte) id};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(parts), (int) (backend.id() & 0xffff));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are always an address", e);
        }
    }
}
