package rowanmoor.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.Settings;

public class SettingsReaderTest {

    /** Valid settings with an unknown key in the last line. */
    public static final String SETTINGS = String.join("\n",
            "balancers=1", "dcs=left,right", "classes.count=2",
            "classes.0.aim_ns=700000000", "classes.0.deadline_ns=2000000000", "classes.0.credit=1.0",
            "classes.0.late_worth=0.3", "classes.0.effect=retryable", "classes.0.key_scope=all",
            "classes.0.window_ns=5000000000", "classes.1.aim_ns=900000000",
                    "classes.1.deadline_ns=2000000000",
            "classes.1.credit=4.0", "classes.1.late_worth=0.3", "classes.1.effect=dedup",
            "classes.1.key_scope=zone", "classes.1.window_ns=1500000000", "classes.1.only_kinds=1",
            "registry_mode=pushed", "limits.probes=false", "extra.admission=per_second", "extra.ejects=0",
            "extra.proxy_count=6", "extra.key_ranges=0", "extra.interval_ns=1000000000",
            "extra.hears_per_s=200.0", "extra.mutating=false,true",
            "extra.home_only=false,false", "penalties.cross_zone=0.01", "report.columns=busy,rif", "extra.blackhole_ns=3000000000",
            "rules.drain_grace_ns=2500000000", "rules.cold_ns=9000000000", "rules.cold_from=0.2",
            "rules.overload_factor=3.0", "rules.fall_ns=1000000000", "extra.egress_per_s=3000.0",
            "extra.per_message=7.0", "extra.most_waiting=5000.0", "extra.messages_most=0",
            "extra.update_window_ns=10000000000", "extra.late_ns=150000000", "extra.transit_max_ns=400000000",
            "some.key.nobody.knows=whatever");

    @Test
    void settingsAreReadAndUnknownKeysIgnored() {
        Settings settings = SettingsReader.parseLines(SETTINGS);
        assertEquals(2, settings.classes().size());
        assertEquals(Idempotency.KEYED, settings.classes().get(1).idempotency());
        assertEquals(Set.of(1), settings.classes().get(1).onlyKinds());
        assertTrue(settings.classes().get(1).mutating());
        assertEquals(0, settings.reportColumns().utilization());
        assertEquals(-1, settings.reportColumns().queue());
        assertEquals(2_500_000_000L, settings.rules().drainGrace());
        assertEquals(7, settings.channel().messageOverhead());
    }

    @Test
    void missingOrInvalidSettingIsNamedInTheError() {
        for (String line : SETTINGS.split("\n")) {
            String key = line.substring(0, line.indexOf('='));
            if (key.startsWith("some.") || key.endsWith("only_kinds")) {
                continue;
            }
            InvalidSettingsException missing = assertThrows(InvalidSettingsException.class,
                    () -> SettingsReader.parseLines(SETTINGS.replace(line + "\n", "")), key);
            assertTrue(missing.getMessage().contains(key), missing.getMessage());
        }
        InvalidSettingsException invalid = assertThrows(InvalidSettingsException.class,
                () -> SettingsReader.parseLines(SETTINGS.replace("extra.ejects=0", "extra.ejects=x")));
        assertTrue(invalid.getMessage().contains("setting extra.ejects is not a number"), invalid.getMessage());
    }
}
