package rowanmoor.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import rowanmoor.ControlApi.Backend;
import rowanmoor.proxy.ProxyConfig;

/** Runs the proxies of a day, on a loop of this process or in child processes. */
interface ProxyHost {

    /** Starts the proxies; returns their listening addresses in order of proxy number. */
    List<InetSocketAddress> start(List<ProxyConfig> configs, List<List<Backend>> standing, long seed)
            throws IOException;

    /** Stops all proxies. */
    void close();

    /** What the proxies read from the channel; call it after they have stopped. */
    List<Evidence.TapEvent> tapEvents() throws IOException;
}
