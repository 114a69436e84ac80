import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The configuration grows by many routes, four times, and is then changed again and again; every change is acknowledged.
 * Then all processes of the core are killed at once and are back within a second, with their disks. The configuration
 * must be read back.
 */
public final class GrownThenKilled {
    private static final int FIRST_ROUTES = 115;
    private static final int GROWTH_ROUTES = 350;
    private static final int GROWTHS = 4;
    private static final int CHANGES = 172;
    private static final long GAP_MS = 100;
    private static final int CALL_MS = 2_000;
    private static final long DOWN_MS = 700;

    /** recoverS, contactMs and as much again as both for a slow machine. */
    private static final long READ_LIMIT_MS = 30_000;

    public static void main(String[] arguments) throws Exception {
        int result;
        try (Harness harness = new Harness(arguments[0])) {
            result = run(harness);
            harness.log("exit " + result);
        }
        Runtime.getRuntime().halt(result);
    }

    private static int run(Harness harness) throws IOException, InterruptedException {
        harness.startProcesses(2);
        int routes = FIRST_ROUTES;
        int version = 7;
        if (!change(harness, version, routes, 30_000) || !harness.awaitReady(30_000)) return Harness.NOT_RUN;
        harness.log("configuration acknowledged, entries ready");
        Harness.sleep(Harness.CONTACT_MS + 500);
        for (int i = 0; i < GROWTHS + CHANGES; i++) {
            long beganMs = harness.nowMs();
            if (i < GROWTHS) routes += GROWTH_ROUTES;
            version += 3;
            // Without an acknowledgement the case has not come to the disruption.
            if (!change(harness, version, routes, Harness.ACK_MS + 3L * routes)) return Harness.NOT_RUN;
            Harness.sleep(GAP_MS - (harness.nowMs() - beganMs));
        }
        Harness.sleep(1_000);
        if (Harness.trouble()) {
            harness.log("all processes of the core are killed");
            for (Harness.Node node : harness.controls) node.process.destroyForcibly();
            for (Harness.Node node : harness.controls) node.process.waitFor();
            Harness.sleep(DOWN_MS);
            for (Harness.Node node : harness.controls) node.start();
        }
        boolean readBack = readBack(harness, version);
        for (Harness.Node node : harness.controls) harness.log(node.name + " runs: " + node.process.isAlive());
        boolean next = change(harness, version + 3, FIRST_ROUTES, Harness.ACK_MS + 3L * FIRST_ROUTES);
        harness.log("newest acknowledged version " + version + ", read back: " + readBack
            + "; a further, small change acknowledged: " + next);
        return readBack ? Harness.HELD : Harness.BROKEN;
    }

    private static boolean change(Harness harness, int version, int routes, long limitMs) {
        String body = GrownConfiguration.configuration(version, routes);
        long beganMs = harness.nowMs();
        boolean acknowledged = harness.operatorCall("/-/configuration/replace", body, CALL_MS, limitMs);
        harness.log("change " + version + " of " + routes + " routes, " + body.length() + " bytes: acknowledged "
            + acknowledged + " after " + (harness.nowMs() - beganMs) + " ms");
        return acknowledged;
    }

    /** Reads the configuration at all nodes in turn; returns whether the acknowledged one came. */
    private static boolean readBack(Harness harness, int version) {
        long endMs = harness.nowMs() + READ_LIMIT_MS;
        String last = "";
        while (harness.nowMs() < endMs) {
            for (int i = 0; i < 3; i++) {
                String answer;
                try (Harness.Connection connection = new Harness.Connection(harness.control(i), CALL_MS)) {
                    Harness.Response response = connection.exchange("GET", "/-/configuration/read",
                        Map.of("Host", "control"), new byte[0]);
                    String body = new String(response.body, StandardCharsets.UTF_8);
                    answer = response.status + " " + body.substring(0, Math.min(60, body.length())).trim();
                    if (response.status == 200) {
                        harness.log("core-" + i + " answers a read with " + answer);
                        return body.startsWith("{\"version\":" + version + ",");
                    }
                } catch (IOException e) {
                    answer = "no answer: " + e.getMessage();
                }
                if (!answer.equals(last)) harness.log("core-" + i + " answers a read with " + answer);
                last = answer;
            }
            Harness.sleep(500);
        }
        return false;
    }
}
