import java.nio.file.Path;
import java.util.List;

/** VARIANT=away: a building's order servers are lost and come back cold while some proxies reach no controller. */
public final class Away {
    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        World.Config c = new World.Config();     // the settings of trentside-depot
        c.zones = new String[] {"north-block", "south-block", "east-block", "west-block"};
        c.classes = new String[] {"stock-check", "place-order"};
        c.effects = new String[] {"retryable", "dedup"};
        c.homeOnly = new boolean[] {false, true};
        c.aimMs = new double[] {1000, 800};
        c.deadlineMs = new double[] {3000, 2000};
        c.credits = new double[] {1, 2};
        c.kinds = new String[] {"std-2core", "wide-4core"};
        c.columns = new String[] {"busy", "rate"};
        c.registryMode = "on_request";
        c.controllers = 1;
        c.proxies = 16;
        c.backends = 20;
        c.linesPerSecond = 8000;
        c.mostWaiting = 12_000;
        c.perMessage = 10;
        c.graceMs = 2000;
        c.coldMs = 13_000;
        c.coldFrom = 0.17;
        c.lateMs = 250;
        c.lateMostMs = 600;
        c.ejects = 0;
        c.redialMinMs = 230;
        c.redialMaxMs = 2400;
        try (World w = new World(c, Path.of(args[0]), Path.of(args[1]))) {
            List<World.Backend> building = w.backends.stream().filter(b -> b.zone == 0).toList();
            // 7 of 16 proxies: the building's four and one of each other building
            List<World.Proxy> cut = w.proxies.stream().filter(p -> p.zone == 0 || p.number < 4).toList();
            w.controllers.forEach(World.Controller::start);
            w.proxies.forEach(World.Proxy::run);
            w.sleepUntil(6_000);
            if (trouble) {
                building.forEach(World.Backend::die);
                w.sleepUntil(13_000);
                cut.forEach(p -> p.cut(true));
                w.sleepUntil(15_000);
                building.forEach(World.Backend::restart);
                w.sleepUntil(29_500);
                cut.forEach(p -> p.cut(false));
            }
            w.sleepUntil(48_000);
            result = w.result("rule 1");
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
            result = 2;
        }
        System.exit(result);
    }
}
