package sablehinge.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.mesh.routing.Configuration;

/** How the bench of fleets comes to its figures. */
class FiguresTest {

    private static final double SMALL = 1e-9;

    @Test
    void aLineThroughPointsOnALineIsThatLine() {
        LinearFit fit = LinearFit.through(
                List.of(new LinearFit.Point(30, 70), new LinearFit.Point(100, 210), new LinearFit.Point(300, 610)));
        assertEquals(2, fit.slope(), SMALL);
        assertEquals(1, fit.fit(), SMALL);
        assertEquals(1_370, fit.at(680), SMALL);
    }

    @Test
    void whatGrowsWithTheSquareFitsALineLess() {
        LinearFit fit = LinearFit.through(
                List.of(new LinearFit.Point(0, 0), new LinearFit.Point(1, 1), new LinearFit.Point(2, 4)));
        assertEquals(2, fit.slope(), SMALL);
        assertEquals(12.0 / 13, fit.fit(), SMALL);
    }

    @Test
    void pointsOfOneSizeMakeNoLine() {
        List<LinearFit.Point> points = List.of(new LinearFit.Point(30, 1), new LinearFit.Point(30, 2));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.through(points));
    }

    @Test
    void whoDidNotComeToAnEndIsCountedApart() {
        Times times = Times.since(100, new double[] {130, Double.NaN, 110, 120});
        assertEquals(new Times(20, 30, 30, 1), times);
        assertTrue(Double.isNaN(Times.since(0, new double[] {Double.NaN}).most()));
    }

    @Test
    void whatAProcessUsedIsReadFromTheSystemsTexts() {
        String stat = "77 (a (b) c) S 1 77 77 0 -1 4194560 9 0 0 0 120 30 0 0 20 0 12 0 100 0 0";
        List<String> status = List.of("Name:\ta b", "VmHWM:\t    2048 kB", "VmRSS:\t    1024 kB");
        List<String> io = List.of(
                "rchar: 1000",
                "wchar: 2000",
                "syscr: 10",
                "syscw: 20",
                "read_bytes: 0",
                "write_bytes: 4096",
                "cancelled_write_bytes: 0");
        Usage usage = Usage.parse(stat, status, io);
        assertEquals(new Usage(1_500, 1 << 20, 2 << 20, 1_000, 2_000, 10, 20, 4_096), usage);
        Usage later = new Usage(1_600, 3 << 20, 4 << 20, 1_500, 2_100, 11, 22, 8_192);
        assertEquals(new Usage(100, 3 << 20, 4 << 20, 500, 100, 1, 2, 4_096), later.since(usage));
    }

    @Test
    void twoEditionsOfAFleetsConfigurationDifferInTheRoutesThatTheirNumbersName() {
        FleetConfiguration fleet = new FleetConfiguration(4, 50, 3, 100);
        Configuration one = ConfigurationReader.read(fleet.body(7));
        Configuration next = ConfigurationReader.read(fleet.body(8));
        assertEquals(50, one.routes().size());
        assertEquals(3, one.tenants().size());
        for (int i = 0; i < one.routes().size(); i++) {
            assertEquals(
                    i != 7 && i != 8, one.routes().get(i).equals(next.routes().get(i)), "route " + i);
        }
    }

    @Test
    void addressesTellTheRegionsThatSettingsName() {
        FleetPlan plan = new FleetPlan(7, 6, 0, 300, 5);
        for (int i = 0; i < 300; i++) {
            LocalSettings settings = plan.hollowSettings(i);
            int region = plan.regionAt(new InetSocketAddress(settings.ip(), 1));
            assertEquals(settings.region(), "region-" + region);
        }
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    FleetPlan.regionOfZone(FleetPlan.controlZone(i)),
                    plan.regionAt(new InetSocketAddress(plan.controlIp(i), 1)));
        }
    }

    @Test
    void slopesTellWhereALineLeadsAndOneSizeHasNone() throws Exception {
        FleetReport report = new FleetReport(List.of(
                new Measurement(100, "calm", "leader", "cpu", "ms/s", 10),
                new Measurement(200, "calm", "leader", "cpu", "ms/s", 20),
                new Measurement(100, "calm", "voter", "cpu", "ms/s", 5),
                new Measurement(200, "calm", "voter", "cpu", "ms/s", Double.NaN)));
        JsonNode slopes = new ObjectMapper().readTree(report.slopes(680).toString());
        assertEquals(68, slopes.path("calm.leader.cpu").path("at_target").asDouble(), SMALL);
        assertEquals(0.1, slopes.path("calm.leader.cpu").path("slope").asDouble(), SMALL);
        assertTrue(slopes.path("calm.voter.cpu").path("slope").isMissingNode());
        assertTrue(report.csv().contains("200,calm,leader,cpu,ms/s,20.000"));
        String page = report.page("title");
        assertTrue(page.contains("calm.leader.cpu"));
        assertTrue(page.contains("uPlot"));
    }
}
