import java.io.IOException;
import java.util.List;

/**
 * The configuration grows by many routes, four times; then changes follow one after the other, each one sent again to
 * any node until it is acknowledged. Every one is valid, so it must be acknowledged within ackMs and 3 ms for each route.
 */
public final class GrownConfiguration {
    private static final int FIRST_ROUTES = 115;
    private static final int GROWTH_ROUTES = 350;
    private static final int GROWTHS = 4;
    private static final int CHANGES = 300;
    private static final long GAP_MS = 100;
    private static final long CHANGES_END_MS = 75_000;

    /** The operator's patience with one node: a second, and more for a large body. */
    private static final int CALL_MS = 2_000;

    public static void main(String[] arguments) throws Exception {
        int result;
        try (Harness harness = new Harness(arguments[0])) {
            result = run(harness);
            harness.log("exit " + result);
        }
        Runtime.getRuntime().halt(result);
    }

    private static int run(Harness harness) throws IOException {
        harness.startProcesses(2);
        int routes = FIRST_ROUTES;
        if (!harness.operatorCall("/-/configuration/replace", configuration(7, routes), CALL_MS, 30_000)) {
            return Harness.NOT_RUN;
        }
        if (!harness.awaitReady(30_000)) return Harness.NOT_RUN;
        harness.log("configuration acknowledged, entries ready");
        // The core is stable: nothing has been started or stopped for longer than contactMs.
        Harness.sleep(Harness.CONTACT_MS + 500);
        int version = 10;
        for (int i = 0; i < GROWTHS && Harness.trouble(); i++) {
            routes += GROWTH_ROUTES;
            if (!change(harness, version, routes)) return Harness.BROKEN;
            version += 3;
            Harness.sleep(1_000);
        }
        int acknowledged = 0;
        for (int i = 0; i < CHANGES && harness.nowMs() < CHANGES_END_MS; i++) {
            long beganMs = harness.nowMs();
            if (!change(harness, version, routes)) {
                harness.log("not acknowledged: version " + version + ", after " + acknowledged + " changes of this size");
                report(harness);
                return Harness.BROKEN;
            }
            acknowledged++;
            version += 3;
            Harness.sleep(GAP_MS - (harness.nowMs() - beganMs));
        }
        report(harness);
        harness.log("acknowledged all " + acknowledged + " changes");
        return Harness.HELD;
    }

    /** Sends a change until it is acknowledged; returns whether that was in time. */
    private static boolean change(Harness harness, int version, int routes) {
        String body = configuration(version, routes);
        long limitMs = Harness.ACK_MS + 3L * routes;
        long beganMs = harness.nowMs();
        boolean acknowledged = harness.operatorCall("/-/configuration/replace", body, CALL_MS, limitMs);
        long tookMs = harness.nowMs() - beganMs;
        harness.log("change " + version + " of " + routes + " routes, " + body.length() + " bytes: acknowledged "
            + acknowledged + " after " + tookMs + " ms, limit " + limitMs);
        return acknowledged;
    }

    private static void report(Harness harness) {
        for (List<Harness.Node> nodes : List.of(harness.controls, harness.entries)) {
            for (Harness.Node node : nodes) harness.log(node.name + " runs: " + node.process.isAlive());
        }
    }

    static String configuration(int version, int routes) {
        StringBuilder text = new StringBuilder("{\"version\":").append(version).append(",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            // Successive versions change a time limit.
            int timeoutMs = i == 0 ? 1_000 + version : 8_000;
            text.append(i == 0 ? "" : ",").append(String.format("{\"name\":\"r-%07x\",", i))
                .append("\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu").append(i)
                .append("/\",\"routeType\":\"streaming\",\"timeoutMs\":").append(timeoutMs)
                .append(",\"targetLatencyMs\":400,\"priority\":1,\"backends\":[{\"service\":\"huvo11a\",\"weight\":90},")
                .append("{\"service\":\"wuno96b\",\"weight\":10}],\"maxAttempts\":2,\"public\":false,\"sticky\":true,")
                .append("\"resumable\":true,\"gapAimMs\":300}");
        }
        return text.append("],\"services\":[").append(service("huvo11a")).append(',').append(service("wuno96b"))
            .append("],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,")
            .append("\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"n2ctnfzs989anu6wsjnb\"],")
            .append("\"priority\":1}]}").toString();
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\","
            + "\"tls\":false}";
    }
}
