package rowanmoor.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import rowanmoor.ControlApi.Backend;
import rowanmoor.proxy.ProxyConfig;

/** Where a run's proxies live: loops of this process, or processes of their own. */
interface ProxyHost {

    /** Starts them; answers where each listens, in order of their numbers. */
    List<InetSocketAddress> start(List<ProxyConfig> configs, List<List<Backend>> standing, long seed)
            throws IOException;

    /** Ends them all. */
    void close();

    /** What they read of the channel; once they have ended. */
    List<Evidence.TapEvent> tapEvents() throws IOException;
}
