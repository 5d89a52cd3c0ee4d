package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.TestSettings.MS;
import static rowanmoor.TestSettings.SECOND;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Usage;

/**
 * Withdrawals reach every joined proxy within the grace, 2 s here, whatever its tables come from: a proxy that
 * waits to be bound may hold any backend.
 */
class FleetWithdrawalTest {

    private static final int BACKENDS = 30;

    private static SimulatedFleet fleetOf(int proxies, int bound) {
        SimulatedFleet fleet = new SimulatedFleet(TestSettings.herd(proxies, 0), BACKENDS)
                .joinOver(0, bound, 2 * SECOND).run(8 * SECOND);
        fleet.worstNs = 0;
        return fleet;
    }

    private static void drain(SimulatedFleet fleet, int from, int to) {
        fleet.list(CatalogUpdateKind.DELTA, Availability.DRAINING, 0, from, to);
    }

    private static void assertToldInTime(SimulatedFleet fleet) {
        assertTrue(fleet.worstNs <= 2 * SECOND, "could send to a drained backend for " + fleet.worstNs / MS + " ms");
        assertTrue(fleet.mostLines <= 2400, fleet.mostLines + " lines waited in the channel");
        assertEquals(0, fleet.policy.channelStatus(fleet.now).waitingBinds(), "all are bound in the end");
    }

    /** Proxies that come over from killed controllers learned of an earlier drain only from late binds. */
    @Test
    void proxiesThatComeOverAreToldOfAnEarlierDrainBeforeTheirBinds() {
        SimulatedFleet fleet = fleetOf(240, 40);
        drain(fleet, 0, 4);
        fleet.run(300 * MS);
        assertToldInTime(fleet.joinOver(40, 240, SECOND).run(10 * SECOND));
    }

    /** New cold backends, which no proxy can hold, stopped the binds until the channel was almost empty. */
    @Test
    void newColdBackendsDoNotStopTheBindsOfWaitingProxies() {
        SimulatedFleet fleet = fleetOf(240, 80);
        drain(fleet, 0, 4);
        fleet.joinOver(80, 240, 1400 * MS);
        double waiting = fleet.policy.channelStatus(fleet.now).waitingBinds();
        fleet.list(CatalogUpdateKind.DELTA, Availability.READY, fleet.now, BACKENDS, BACKENDS + 4);
        fleet.run(SECOND);
        assertTrue(fleet.policy.channelStatus(fleet.now).waitingBinds() < waiting - 20, "binds go on");
        assertToldInTime(fleet.run(10 * SECOND));
    }

    /** A drain while proxies waited was told to the bound ones only, behind up to 2 s of binds. */
    @Test
    void drainWhileProxiesWaitIsToldToBoundAndWaitingOnesAlike() {
        SimulatedFleet fleet = fleetOf(240, 80);
        drain(fleet, 0, 4);
        fleet.joinOver(80, 240, 1400 * MS).run(400 * MS);
        drain(fleet, 4, 8);
        assertToldInTime(fleet.run(12 * SECOND));
    }

    /** The same with backends that are gone at once, and proxies that join twice before they are bound. */
    @Test
    void proxiesThatJoinTwiceAreToldOfGoneBackendsOnTheirNewStream() {
        SimulatedFleet fleet = fleetOf(240, 80);
        fleet.joinOver(80, 240, 1200 * MS);
        fleet.list(CatalogUpdateKind.DELTA, Availability.GONE, 0, 0, 4);
        fleet.run(200 * MS);
        for (int proxy = 160; proxy < 240; proxy++) {
            fleet.leave(proxy);
        }
        assertToldInTime(fleet.run(500 * MS).joinOver(160, 240, 300 * MS).run(12 * SECOND));
    }

    /** A withdrawal for a fleet of 400 entered the channel at once and was more than may wait in it. */
    @Test
    void lostHallOfAFleetOf400StaysWithinTheBacklog() {
        SimulatedFleet fleet = fleetOf(400, 400).run(20 * SECOND);
        for (int i = 1; i < BACKENDS; i += 2) {
            fleet.list(CatalogUpdateKind.DELTA, Availability.GONE, 0, i, i + 1);
        }
        fleet.run(20 * SECOND);
        assertTrue(fleet.mostLines <= 2400, fleet.mostLines + " lines waited in the channel");
        assertEquals(0, fleet.policy.channelStatus(fleet.now).uninformedProxies(), "all are told in the end");
    }

    /** A proxy that is told of a backend while its tables are unknown would keep it shut out for good. */
    @Test
    void proxiesToldBeforeTheirBindAreToldOfTheReadmission() {
        SimulatedFleet fleet = fleetOf(240, 80);
        drain(fleet, 0, 4);
        fleet.joinOver(80, 240, 500 * MS).run(SECOND);
        assertTrue(IntStream.range(80, 240).anyMatch(proxy -> fleet.excludes(proxy, 0)), "some wait and are told");
        fleet.list(CatalogUpdateKind.DELTA, Availability.READY, 0, 0, 4);
        fleet.run(12 * SECOND);
        for (int proxy = 80; proxy < 240; proxy++) {
            for (int backend = 0; backend < 4; backend++) {
                assertFalse(fleet.excludes(proxy, backend), "proxy " + proxy + " excludes " + backend);
            }
        }
    }

    /** The number of a proxy that moved was read after the move had changed the entry: another one was bound. */
    @Test
    void proxyThatIsMovedToAnotherPoolIsBoundToIt() {
        SimulatedFleet fleet = new SimulatedFleet(TestSettings.herd(100, 0), 60).joinOver(0, 100, 2 * SECOND);
        for (int round = 0; round < 30; round++) {
            for (int proxy = 0; proxy < 100; proxy++) {
                int requests = (proxy / 2 + round / 6) % 5 == 0 ? 40 : 2; // the load goes from pool to pool
                fleet.policy.handle(fleet.now, new Usage(proxy, 0, requests, 0, SECOND));
            }
            fleet.run(SECOND);
        }
        fleet.worstNs = 0;
        drain(fleet, 0, 30);
        assertToldInTime(fleet.run(8 * SECOND));
        assertTrue(fleet.rebinds > 10, fleet.rebinds + " proxies moved");
    }

    /** On sites with key ranges nothing else tells a proxy that joins later, and the backlog was never closed. */
    @Test
    void siteWithKeyRangesTellsLaterProxiesAndKeepsTellingThem() {
        SimulatedFleet fleet = new SimulatedFleet(TestSettings.herd(100, 4), BACKENDS).joinOver(0, 60, 600 * MS);
        for (int i = 0; i < 8; i++) {
            drain(fleet, i, i + 1);
            fleet.run(SECOND);
        }
        fleet.joinOver(60, 100, 500 * MS).run(4 * SECOND);
        assertTrue(fleet.worstNs <= 2 * SECOND, fleet.worstNs / MS + " ms");
    }
}
