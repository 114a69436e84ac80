import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * An engine deregisters, goes on serving and exits. Two of its last heartbeats are late: they arrive at the control
 * processes after the deregistration was acknowledged. Requests must not reach the engine later than drainMs after that.
 */
public final class LateHeartbeat {
    private static final String HOST = "book.example";
    private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"save\",\"host\":\"" + HOST
        + "\",\"pathPrefix\":\"/save/\",\"routeType\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":386,"
        + "\"priority\":1,\"service\":\"book\",\"maxAttempts\":1,\"public\":true}],\"services\":[{\"name\":\"book\","
        + "\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":"
        + "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    private static final int WORK_MS = 250;
    private static final int REQUESTS_PER_S = 30;

    /** How late the two heartbeats are. */
    private static final long LATE_MS = 3_000;

    /** Time from the acknowledgement of the deregistration to the engine's exit. */
    private static final long EXIT_AFTER_MS = 7_000;

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
        for (int i = 0; i < 3; i++) harness.new PlainEngine(i, "book", 6, WORK_MS);
        List<Harness.PlainEngine> engines = harness.engines;
        Harness.PlainEngine leaving = engines.get(0);
        if (!harness.operatorCall("/-/configuration/replace", CONFIGURATION, 30_000)) return Harness.NOT_RUN;
        for (int i = 0; i < 3; i++) engines.get(i).startAnnouncing(i);
        if (!harness.awaitReady(30_000)) return Harness.NOT_RUN;
        harness.log("configuration acknowledged, entries ready");
        Harness.sleep(2_000);

        Harness.Load load = new Harness.Load();
        ExecutorService clients = Executors.newCachedThreadPool();
        Thread sender = Harness.daemon(() -> {
            long beganMs = harness.nowMs();
            for (int i = 0; !load.stopped; i++) {
                Harness.sleep(beganMs + i * 1_000L / REQUESTS_PER_S - harness.nowMs());
                String id = String.format("a%07d", i);
                int entry = i % 2;
                clients.execute(() -> {
                    Harness.Sent sent =
                        harness.request(entry, HOST, "POST", "/save/recipe", new byte[600], 1_500, id);
                    load.sent.put(id, sent);
                    harness.log("sent " + id + " at " + sent.sentMs + " answered " + sent.answer + " at "
                        + sent.answeredMs);
                });
            }
        });
        // All processes have run undisturbed for longer than contactMs.
        Harness.sleep(Harness.CONTACT_MS + 1_500);

        long acknowledgedMs = leave(harness, leaving);
        if (acknowledgedMs < 0) return Harness.NOT_RUN;
        Harness.sleep(EXIT_AFTER_MS);
        harness.log("engine " + leaving.id + " exits with " + leaving.running.get() + " requests running");
        leaving.end();
        Harness.sleep(2_500);
        load.stopped = true;
        Harness.sleep(2_000);
        clients.shutdownNow();
        return judge(harness, load, leaving, acknowledgedMs);
    }

    /** Deregisters [engine] and returns the time of the acknowledgement. */
    private static long leave(Harness harness, Harness.PlainEngine engine) {
        engine.announces = false;
        Harness.sleep(Harness.HEARTBEAT_MS + 200);
        if (Harness.trouble()) {
            // A heartbeat without an answer within a second is followed by one to the next node.
            lateHeartbeat(harness, engine, 0);
            Harness.sleep(1_000);
            lateHeartbeat(harness, engine, 1);
            Harness.sleep(1_000);
        }
        boolean acknowledged = engine.call(2, "/-/instances/" + engine.id + "/deregister",
            "{\"born\":" + engine.bornMs + "}", 1_000);
        long nowMs = harness.nowMs();
        harness.log("deregistration of " + engine.id + " acknowledged: " + acknowledged);
        return acknowledged ? nowMs : -1;
    }

    private static void lateHeartbeat(Harness harness, Harness.PlainEngine engine, int node) {
        long number = engine.sequence.incrementAndGet();
        harness.log("heartbeat " + number + " of " + engine.id + " to core-" + node + " leaves");
        Harness.daemon(() -> {
            Harness.sleep(LATE_MS);
            boolean acknowledged = engine.announce(node, number);
            harness.log("heartbeat " + number + " of " + engine.id + " arrived at core-" + node + ", acknowledged: "
                + acknowledged);
        });
    }

    private static int judge(Harness harness, Harness.Load load, Harness.PlainEngine leaving, long acknowledgedMs) {
        long limitMs = acknowledgedMs + Harness.DRAIN_MS;
        long late = leaving.runs.stream().filter(it -> it.atMs > limitMs).count();
        long lost = leaving.runs.stream()
            .filter(it -> it.atMs > limitMs && !it.answered && load.sent.containsKey(it.id))
            .filter(it -> !"200".equals(load.sent.get(it.id).answer))
            .count();
        long served = load.sent.values().stream().filter(it -> it.answer.equals("200")).count();
        harness.log("requests " + load.sent.size() + ", served " + served + ", that reached " + leaving.id
            + " later than drainMs after the acknowledgement " + late + ", of these lost at its exit " + lost);
        if (served < load.sent.size() / 2) return Harness.NOT_RUN;
        return late > 0 ? Harness.BROKEN : Harness.HELD;
    }
}
