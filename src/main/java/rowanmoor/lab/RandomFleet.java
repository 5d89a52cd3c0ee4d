package rowanmoor.lab;

import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Generates day files with fleets drawn from a seed, to check forecasts on fleets that nobody tuned them for.
 * The sizes are small enough for one machine to run them on sockets.
 */
public final class RandomFleet {

    private RandomFleet() { }

    private static double between(SplittableRandom random, double low, double high) {
        return low + (high - low) * random.nextDouble();
    }

    /** Returns the text of a day file. The same name and seed always give the same text. */
    public static String generate(String name, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int cores = 2 + random.nextInt(4);
        int slots = cores * (1 + random.nextInt(3));
        int queue = 4 + random.nextInt(40);
        int fast = 4 + random.nextInt(8);
        int wide = 2 + random.nextInt(6);
        double speed = between(random, 1, 2);
        double readShare = between(random, 0.3, 0.9);
        long readWork = Math.round(between(random, 40, 120));
        long payWork = Math.round(between(random, 60, 200));
        int connections = random.nextInt(3) == 0 ? 4 + random.nextInt(12) : 1000;
        int pace = random.nextInt(4) == 0 ? 8 : 1500;
        String confined = random.nextInt(3) == 0 ? "; only-kinds \"wide\"" : "";
        String zone = random.nextInt(3) == 0 ? "; zone \"south\"" : "";
        return String.format(Locale.ROOT, """
                day "%s" { seed %d; length "20s"; settle "6s" }
                site {
                    zones "north" "south"
                    kinds "fast" "wide"
                    class "read" { prefix "/read"; aim "700ms"; deadline "2s"; worth 1; effect "safe" }
                    class "pay" {
                        prefix "/pay"; aim "900ms"; deadline "2.5s"; worth 3; effect "unsafe"; write #true%s
                    }
                    load-report "queue" "latency-ms"
                    choice "%s"
                    proxies 20
                    period "1s"
                    intake "500/s"
                    rules {
                        bare "3s"; drain-grace "2.5s"; cold "8s"; cold-from 0.2
                        fall-multiple 4; fall-span "1.5s"
                    }
                    channel { pace "%d/s"; head 4; backlog 4000; late "20ms"; latest "300ms" }
                }
                fleet {
                    controllers "north" "south"
                    proxies %d
                    proxy-skew %.2f
                    backends "fast" {
                        count %d; cores %d; speed %.2f; slots %d; queue %d; weight %.2f; connections %d%s
                    }
                    backends "wide" {
                        count %d; cores 4; speed 1; slots 8; queue %d; weight 4; connections %d
                    }
                }
                roster { notice "800ms"; wait "2s"; empty-hold "3s" }
                load {
                    rate "100/s"
                    rise "4s"
                    class "read" { share %.2f; work "%dms" }
                    class "pay" { share %.2f; work "%dms" }
                }
                clients { retries %d; backoff "100ms"; try-share 0.9 }
                """, name, seed, confined, random.nextBoolean() ? "two" : "weighted", pace,
                6 + random.nextInt(10), between(random, 0, 0.8), fast, cores, speed, slots, queue,
                        cores * speed,
                connections, zone, wide, queue, connections, readShare, readWork, 1 - readShare, payWork,
                random.nextInt(3));
    }
}
