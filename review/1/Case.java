import java.nio.file.Path;
import java.util.List;

/**
 * A hall's workers are lost and come back cold; meanwhile the controllers are restarted one at a time. With VARIANT=plain
 * no class keeps to its zone, and the other hall's workers are lost once the first hall's are warm.
 * ONLY=loss or ONLY=restarts plays one of the two disruptions alone.
 */
public final class Case {
    public static void main(String[] args) {
        String only = System.getenv("ONLY");
        boolean plain = "plain".equals(System.getenv("VARIANT"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        World.Config c = new World.Config();     // the settings of bilbao-oviedo
        c.homeOnly = new boolean[] {false, !plain};
        c.proxies = 8;
        c.backends = 10;
        c.controllers = 2;
        try (World w = new World(c, Path.of(args[0]), Path.of(args[1]))) {
            List<World.Backend> hall = w.backends.stream().filter(b -> b.zone == 0).toList();
            w.controllers.forEach(World.Controller::start);
            w.proxies.forEach(World.Proxy::run);
            w.sleepUntil(6_000);
            if (trouble && !"restarts".equals(only)) {
                hall.forEach(World.Backend::die);
                w.sleepUntil(16_000);
                hall.forEach(World.Backend::restart);
            }
            if (trouble && !"loss".equals(only)) {
                w.sleepUntil(18_000);
                w.controllers.get(0).terminate();
                w.controllers.get(0).start();
                w.sleepUntil(21_500);
                w.controllers.get(1).terminate();
                w.controllers.get(1).start();
            }
            if (trouble && plain) {
                w.sleepUntil(38_000);
                List<World.Backend> other = w.backends.stream().filter(b -> b.zone == 1).toList();
                other.forEach(World.Backend::die);
                w.sleepUntil(50_000);
                other.forEach(World.Backend::restart);
            }
            w.sleepUntil(plain ? 56_000 : 50_000);
            result = w.result("rule 1");
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
            result = 2;
        }
        System.exit(result);
    }
}
