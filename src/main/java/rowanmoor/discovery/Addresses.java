package rowanmoor.discovery;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import rowanmoor.ControlApi.Backend;

/** Converts between backends and socket addresses. A backend's number holds its IPv4 address and port. */
public final class Addresses {

    private Addresses() { }

    /** Returns the backend at an IPv4 address. */
    public static Backend toBackend(InetSocketAddress address) {
        return RosterResponse.toBackend(address);
    }

    /** Returns the address of a backend. */
    public static InetSocketAddress toSocketAddress(Backend backend) {
        long id = backend.id() >>> 16;
        byte[] ipv4 = {(byte) (id >> 24), (byte) (id >> 16), (byte) (id >> 8), (byte) id};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ipv4), (int) (backend.id() & 0xffff));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are always a valid address", e);
        }
    }
}
