package rowanmoor.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import rowanmoor.ControlApi.Backend;
import rowanmoor.config.Site;
import rowanmoor.net.Loop;
import rowanmoor.proxy.Proxy;
import rowanmoor.proxy.ProxyConfig;
import rowanmoor.proxy.Router;

/** Runs proxies on one loop of this process. */
final class ProxyLoops implements ProxyHost {

    /** The constructor arguments of a router. */
    record RouterParts(Site site, List<Backend> standing, SplittableRandom random, long now) { }

    private final Loop loop;
    private final Function<RouterParts, Router> routers;
    private final Evidence.Recorder recorder = new Evidence.Recorder();

    ProxyLoops(Loop loop, Function<RouterParts, Router> routers) {
        this.loop = loop;
        this.routers = routers;
    }

    @Override
    public List<InetSocketAddress> start(List<ProxyConfig> configs, List<List<Backend>> standing, long seed)
            throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int p = 0; p < configs.size(); p++) {
            Router router = routers.apply(new RouterParts(configs.get(p).site(), standing.get(p),
                    random.split(), loop.now()));
            addresses.add(new Proxy(configs.get(p), loop, router, random.split(), recorder).address());
        }
        return addresses;
    }

    @Override
    public void close() { }

    @Override
    public List<Evidence.TapEvent> tapEvents() {
        return recorder.events();
    }
}
