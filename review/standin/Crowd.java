import java.nio.file.Path;
import java.util.List;

/**
 * No case, a look at rule 5: one of two controllers is killed, all relays come to the other one, and then a hall's workers are
 * listed as gone. RELAYS, WORKERS, TOLD (ms between the two); NOKILL leaves out the kill.
 */
public final class Crowd {
    public static void main(String[] args) {
        int result = 2;
        World.Config c = new World.Config();
        c.controllers = 2;
        c.proxies = Integer.parseInt(System.getenv().getOrDefault("RELAYS", "137"));
        c.backends = Integer.parseInt(System.getenv().getOrDefault("WORKERS", "80"));
        c.requestsPerProxy = 1;
        c.lateMs = 300;
        c.linesPerSecond = 1200;
        c.mostWaiting = 2400;
        double told = Double.parseDouble(System.getenv().getOrDefault("TOLD", "1200"));
        try (World w = new World(c, Path.of(args[0]), Path.of(args[1]))) {
            List<World.Backend> hall = w.backends.stream().filter(b -> b.zone == 1).toList();
            w.controllers.forEach(World.Controller::start);
            w.proxies.forEach(World.Proxy::run);
            w.sleepUntil(10_000);
            if (System.getenv("NOKILL") == null) {
                w.controllers.get(1).kill();
            }
            w.after(told, () -> w.list(hall, "terminated"));
            w.sleepUntil(20_000);
            result = w.result("rule 5");
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(result);
    }
}
