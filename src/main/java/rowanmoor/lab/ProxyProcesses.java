package rowanmoor.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import rowanmoor.ControlApi.Backend;
import rowanmoor.config.Section;
import rowanmoor.proxy.ProxyConfig;
import rowanmoor.proxy.TapFile;

/**
 * Runs proxies in child processes, {@value #PROXIES_PER_PROCESS} in each; each process records its tap in a
 * file.
 */
final class ProxyProcesses implements ProxyHost {

    private static final Pattern LISTENING_LINE = Pattern.compile("proxy ([0-9]+) listens on [^/]*/(\\S+)");
    private static final int PROXIES_PER_PROCESS = 48;
    private static final long START_TIMEOUT_SECONDS = 60;

    private final Path dayFile;
    private final Path directory;
    private final List<ChildProcess> children = new ArrayList<>();
    private final List<Path> tapFiles = new ArrayList<>();

    ProxyProcesses(Path dayFile, Path directory) {
        this.dayFile = dayFile;
        this.directory = directory;
    }

    @Override
    public List<InetSocketAddress> start(List<ProxyConfig> configs, List<List<Backend>> standing, long seed)
            throws IOException {
        Map<Integer, InetSocketAddress> listening = new ConcurrentHashMap<>();
        CountDownLatch allListening = new CountDownLatch(configs.size());
        for (int first = 0; first < configs.size(); first += PROXIES_PER_PROCESS) {
            List<ProxyConfig> batch = configs.subList(first,
                    Math.min(configs.size(), first + PROXIES_PER_PROCESS));
            String name = "proxies-" + first;
            Path config = directory.resolve(name + ".kdl");
            Path taps = directory.resolve(name + ".taps");
            Files.writeString(config, "site-from \"" + ControllerProcesses.quoted(dayFile.toAbsolutePath())
                    + "\"\n" + batch.stream().map(ProxyProcesses::configBlock).collect(Collectors.joining()));
            tapFiles.add(taps);
            children.add(ChildProcess.start(name, "1g", directory.resolve(name + ".log"), line -> {
                Matcher matcher = LISTENING_LINE.matcher(line);
                if (matcher.matches()) {
                    listening.put(Integer.parseInt(matcher.group(1)), Section.parseAddress(matcher.group(2)));
                    allListening.countDown();
                }
            }, "proxy", "--config", config.toString(), "--tap", taps.toString(), "--seed",
                    Long.toString(seed + first)));
        }
        awaitListening(allListening);
        return configs.stream().map(c -> listening.get(c.number())).toList();
    }

    private void awaitListening(CountDownLatch allListening) throws IOException {
        try {
            if (!allListening.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                close();
                throw new IOException("proxies did not start within " + START_TIMEOUT_SECONDS + " s; see "
                        + directory);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while proxies were starting", e);
        }
    }

    private static String configBlock(ProxyConfig c) {
        return """
                proxy {
                    number %d
                    name "%s"
                    zone "%s"
                    rate "%.3f/s"
                    listen "127.0.0.1:0"
                    from %s
                    controllers %s
                    first-controller %d
                    standing %s
                }
                """.formatted(c.number(), c.name(), c.site().zones().get(c.zone()), c.requestsPerSecond(),
                quotedAddress(c.localAddress()), quotedAddresses(c.controllers()), c.firstController(),
                quotedAddresses(c.standingBackends()));
    }

    private static String quotedAddress(InetSocketAddress address) {
        return "\"" + address.getAddress().getHostAddress() + ":" + address.getPort() + "\"";
    }

    private static String quotedAddresses(List<InetSocketAddress> addresses) {
        return addresses.stream().map(ProxyProcesses::quotedAddress).collect(Collectors.joining(" "));
    }

    @Override
    public void close() {
        children.forEach(ChildProcess::terminate);
        children.forEach(ChildProcess::awaitExit);
        children.clear();
    }

    @Override
    public List<Evidence.TapEvent> tapEvents() throws IOException {
        Evidence.Recorder recorder = new Evidence.Recorder();
        for (Path file : tapFiles) {
            if (!TapFile.read(file, recorder)) {
                throw new IOException(file + ": the last record is truncated");
            }
        }
        return recorder.events();
    }
}
