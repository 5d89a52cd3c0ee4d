package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanmoor.config.ConfigException;

/** Converts a benchmark day that was made up for this test. */
class BenchDayConverterTest {

    private static final String DAY = """
            {"family":"control","site":"made-up","kind":"big","noise":12345678901,"length":30000000,
             "zones":["a","b"],"drain_grace":2000000,"fall_multiple":4.0,"fall_for":1500000,
             "traffic":{"load":0.5},"clients":{"retries":1,"try_share":0.8,"backoff_us":50000},
             "discovery":{"notice":900000},"allow":{"probes":true},
             "classes":[{"name":"read","share":0.6,"work":100000,"aim":600000,"deadline":1500000,"worth":1,
               "late_worth":0.2,"effect":"safe","group":"all","window":5000000,"write":false},
              {"name":"pay","share":0.4,"work":200000,"aim":900000,"deadline":2500000,"worth":5,
               "late_worth":0.2,"effect":"unsafe","write":true,"only_kinds":[[1]]}],
             "tiers":[{"stated_cold":10000000,"stated_cold_from":0.2,"report_fields":["util"],
               "conn_cap_per_core":60,"kinds":[
                {"name":"k0","cores":2,"slots":4,"queue":10,"cold_from":0.3,"cold":8000000},
                {"name":"k1","cores":4,"slots":8,"queue":20,"cold_from":0.3,"cold":8000000}]}],
             "servers":[SERVERS],"balancers":[1,1,1,1,1,1,1,1],
             "fam":{"controllers":[0,1],"standing":5,"ejects":5,"eject":3000000,"period":1000000,"intake":200,
               "bare":3000000,"rate":1200,"head":4,"backlog":2400,"late":100000,"pick":"weighted","admit":"rate"},
             "troubles":[{"kind":"crash","at":5000000,"len":8000000,"on":[1,2],"size":0},
              {"kind":"burst","at":9000000,"len":3000000,"on":[],"size":1.5},
              {"kind":"zone_cut","at":9000000,"len":3000000,"on":[],"which":1,"size":0},
              {"kind":"neighbour","at":1000000,"len":3000000,"on":[1],"size":0.5}]}
            """.replace("SERVERS", "{\"kind\":0,\"speed\":1.0,\"weight\":2.0},".repeat(6)
                    + "{\"kind\":1,\"speed\":0.8,\"weight\":4.0},".repeat(3)
                    + "{\"kind\":1,\"speed\":0.8,\"weight\":4.0}");

    @Test
    void convertsScalesAndPlaysADayAndListsSkippedTroubles(@TempDir Path dir) throws IOException, ConfigException {
        Path json = dir.resolve("day.json");
        Files.writeString(json, DAY);
        BenchDayConverter.Conversion converted = BenchDayConverter.convert(json, 0.5);
        assertEquals(List.of("neighbour at 1000ms for 3000ms: no stand-in plays it"), converted.skippedTroubles());
        DayFile day = TestDays.parse(converted.text());
        assertEquals(4, day.proxies());
        assertEquals(5, day.backendCount());
        assertEquals(List.of(Trouble.Kind.CRASH, Trouble.Kind.BURST, Trouble.Kind.ZONE_CUT),
                day.troubles().stream().map(Trouble::kind).toList());
        // Half of (3 x 2 cores x 1.0 + 2 x 4 cores x 0.8), at 0.14 s per request.
        assertEquals(0.5 * (6 + 6.4) / 0.14, day.rate(), 0.1);
        DayResult result = DayRunner.simulate(day);
        assertEquals(List.of(), result.faults());
        assertEquals(true, result.rulesKept(), DayReport.text(result));
    }

    @Test
    void refusesAFileThatIsNotADay(@TempDir Path dir) throws IOException {
        Path json = dir.resolve("x.json");
        Files.writeString(json, "{\"family\":\"other\"}");
        assertThrows(IOException.class, () -> BenchDayConverter.convert(json, 1));
    }
}
