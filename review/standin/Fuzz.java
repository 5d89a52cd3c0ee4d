import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Random small deployments with disruptions that the pages name, to look for broken rules. */
public final class Fuzz {
    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[1]);
        Random r = new Random(seed * 0x9E3779B97F4A7C15L ^ 0x5DEECE66DL);
        for (int i = 0; i < 20; i++) {
            r.nextInt();
        }
        World.Config c = new World.Config();
        c.seed = seed;
        c.controllers = 1 + r.nextInt(2);
        int size = System.getenv("SIZE") == null ? r.nextInt(3) : Integer.parseInt(System.getenv("SIZE"));
        boolean small = size < 2;
        c.proxies = small ? 6 + r.nextInt(7) : 20 + r.nextInt(20);
        c.backends = small ? 8 + r.nextInt(5) : 26 + r.nextInt(14);
        c.homeOnly[1] = args.length > 2;
        c.crossPrice = r.nextBoolean() ? 0.06 : 0.01;
        c.messagesMost = r.nextInt(3) == 0 ? 20 : 0;
        c.linesPerSecond = 1100 + r.nextInt(300);
        c.mostWaiting = 2 * c.linesPerSecond;
        c.graceMs = 2000 + r.nextInt(1300);
        c.lateMs = 110 + r.nextInt(330);
        c.lateMostMs = 2.5 * c.lateMs;
        c.requestsPerProxy = small ? 12 : 5;
        c.keepsShutOut = System.getenv("FORGET") == null;
        if (size == 3) { // the grown deployment
            c.controllers = 2;
            c.proxies = 101 + r.nextInt(37);
            c.backends = 65 + r.nextInt(25);
            c.requestsPerProxy = 2;
        }
        int next = 0x1000;
        try (World w = new World(c, Path.of("."), Path.of(args[0]))) {
            w.controllers.forEach(World.Controller::start);
            w.proxies.forEach(World.Proxy::run);
            w.sleepUntil(4000);
            while (w.now() < 80_000) {
                int what = r.nextInt(System.getenv("SLOW") == null ? 15 : 16);
                w.log("event " + what);
                List<World.Proxy> ps = new ArrayList<>(w.proxies);
                Collections.shuffle(ps, r);
                List<World.Backend> ready = new ArrayList<>();
                w.backends.stream().filter(b -> b.state.equals("in_service") && b.up).forEach(ready::add);
                Collections.shuffle(ready, r);
                World.Controller k = w.controllers.get(r.nextInt(c.controllers));
                switch (what) {
                    case 0 -> {
                        int zone = r.nextInt(2);
                        if (ready.stream().filter(b -> b.zone != zone).count() * 2 >= ready.size()) {
                            for (World.Backend b : ready) {
                                if (b.zone == zone) {
                                    b.die();
                                    w.after(8700 + r.nextInt(6000), b::restart);
                                }
                            }
                        }
                    }
                    case 1 -> {
                        for (World.Backend b : ready.subList(0, ready.size() / 5)) {
                            b.die();
                            w.after(5900 + r.nextInt(6000), b::restart);
                        }
                    }
                    case 2 -> {
                        double at = 0;
                        for (World.Backend b : ready.subList(0, ready.size() / 3)) {
                            int id = next++;
                            w.after(at, () -> {
                                try {
                                    w.addBackend(String.format("s-%08x", id * 2654435761L & 0xffffffffL), b.zone);
                                } catch (Exception e) {
                                    throw new IllegalStateException(e);
                                }
                                w.list(b, "terminating", b.startedAtMs);
                            });
                            w.after(at + 5000, b::die);
                            at += 400;
                        }
                    }
                    case 3 -> {
                        k.terminate();
                        k.start();
                    }
                    case 4 -> {
                        k.kill();
                        w.sleep(r.nextInt(4000));
                        k.start();
                    }
                    case 5 -> ps.subList(0, 1 + r.nextInt(ps.size())).forEach(World.Proxy::breakStream);
                    case 6 -> {
                        for (World.Proxy p : ps.subList(0, ps.size() / 3)) {
                            p.cut(true);
                            w.after(6800 + r.nextInt(8000), () -> p.cut(false));
                        }
                    }
                    case 7 -> k.discovery.breakWatches();
                    case 8 -> k.reload();
                    case 9 -> ps.subList(0, 1 + r.nextInt(ps.size())).forEach(World.Proxy::silence);
                    case 10 -> k.discovery.silence();
                    case 11 -> {
                        for (World.Proxy p : ps.subList(0, ps.size() / 2)) {
                            p.spoilsAcks = true;
                            w.after(8000, () -> p.spoilsAcks = false);
                        }
                    }
                    case 12 -> {
                        for (int i = 0; i < 100; i++) {
                            World.Proxy p = ps.get(0);
                            w.stranger(k, i);
                        }
                    }
                    case 13 -> {
                        k.discovery.down(true);
                        w.sleep(4000 + r.nextInt(8000));
                        k.discovery.down(false);
                    }
                    case 15 -> {
                        double pace = 0.15 + 0.5 * r.nextDouble();
                        w.controllers.forEach(x -> x.channelPace = pace);
                        w.sleep(10_000);
                        w.controllers.forEach(x -> x.channelPace = 1);
                    }
                    default -> ps.subList(0, ps.size() / 2).forEach(World.Proxy::reboot);
                }
                w.sleep(500 + r.nextInt(6000));
            }
            w.sleepUntil(95_000);
            System.out.println("seed " + seed + ": " + w.breaks.size() + " breaks, controllers " + c.controllers
                    + " proxies " + c.proxies + " backends " + c.backends + " home " + c.homeOnly[1] + " price "
                    + c.crossPrice + " messages " + c.messagesMost + " " + w.counts);
            w.controllers.forEach(k -> System.out.printf("most waiting n%d %.0f of %.0f%n", k.number, k.mostWaiting, c.mostWaiting));
            w.breaks.stream().filter(b -> b.startsWith("rule 5") || System.getenv("SLOW") == null).limit(4).forEach(System.out::println);
        }
        System.exit(0);
    }
}
