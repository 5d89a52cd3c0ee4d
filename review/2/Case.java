import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** During a release two of three controllers are killed at once; their relays go to the third. */
public final class Case {
    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        World.Config c = new World.Config();     // the settings of bilbao-oviedo, three controllers
        c.controllers = 3;
        c.proxies = 240;
        c.backends = 30;
        c.requestsPerProxy = 2;
        c.linesPerSecond = 1200;
        c.mostWaiting = 2400;
        c.graceMs = 2000;
        c.lateMs = 300;
        try (World w = new World(c, Path.of(args[0]), Path.of(args[1]))) {
            w.controllers.parallelStream().forEach(World.Controller::start);
            w.proxies.forEach(World.Proxy::run);
            for (int step = 0; step < 3; step++) {       // a release, 4 of 30 workers at a time
                w.sleepUntil(14_000 + step * 2300);
                List<World.Backend> old = new ArrayList<>(w.backends.subList(4 * step, 4 * step + 4));
                w.addBackends(4, String.format("%04x", 0xa000 + step));
                w.list(old, "terminating");
                w.after(5000, () -> old.forEach(World.Backend::die));
                if (trouble && step == 0) {
                    w.sleep(300);
                    w.controllers.subList(1, 3).parallelStream().forEach(World.Controller::kill);
                }
                if (trouble && step == 1) {
                    w.controllers.subList(1, 3).parallelStream().forEach(World.Controller::start);
                }
            }
            w.sleepUntil(34_000);
            result = w.result("rule 3");
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
            result = 2;
        }
        System.exit(result);
    }
}
