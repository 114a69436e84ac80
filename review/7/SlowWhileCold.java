import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Engines become cold again, and some turn slow for a moment meanwhile; the streams may not be resumed. */
final class SlowWhileCold {
    static final String MODEL = "m0";
    static final int ENGINES = 10;
    static final int GROUP_SIZE = 3;
    static final int GROUPS = 3;
    static final int RATE = 70;
    static final int SLOW_MS = 250;
    static final int PAUSE_MS = 300;
    static final int STEP_MS = 42;
    static final double READ_PER_MS = 50.7;
    static final double SLOW_FACTOR = 12;
    static final int PROMPT = 100;
    static final int COLD_MS = 3_000;

    /** Where and when each attempt of a client began to run. */
    static final Map<String, List<String>> runs = new ConcurrentHashMap<>();

    /** When requests arrived, by engine. */
    static final Map<String, List<Long>> arrivals = new ConcurrentHashMap<>();
    static final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, SlowWhileCold::daemon);
    static Bed bed;
    static volatile long coldUntilMs = 0;
    static volatile boolean ended = false;

    private SlowWhileCold() {}

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Bed opened = new Bed(Path.of(arguments[0], "record.txt"), 3)) {
            bed = opened;
            try {
                exit = run() ? 0 : 1;
            } catch (Bed.CannotRun | IOException e) {
                bed.note("could not run: " + e);
            }
            bed.note("exit " + exit);
        }
        Runtime.getRuntime().halt(exit);
    }

    static boolean run() throws Exception {
        bed.extraSettings.addAll(List.of(
            "contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,places,pressure,gangs",
            "bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacuateMs=5000"));
        bed.startAll(List.of("127.0.1.21"), configuration());
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) engines.add(new Engine(i));
        for (Engine engine : engines) timer.scheduleAtFixedRate(engine::beat, 0, 1_200, TimeUnit.MILLISECONDS);
        long limitMs = bed.nowMs() + 20_000;
        while (engines.stream().filter(it -> it.state.equals("open")).count() < GROUPS) {
            if (bed.nowMs() > limitMs) throw new Bed.CannotRun("not all groups are open");
            Thread.sleep(100);
        }
        for (Engine engine : engines) bed.note("engine " + engine.id + ": group " + engine.group + " rank " + engine.rank + " " + engine.state);
        Thread.sleep(1_500);
        if (bed.trouble) {
            // Engines may become cold again at any moment: here for 3 s, again and again.
            timer.scheduleAtFixedRate(() -> {
                coldUntilMs = bed.nowMs() + COLD_MS;
                engines.forEach(it -> timer.execute(it::beat));
            }, 0, 3, TimeUnit.SECONDS);
            daemon(() -> slowDown(engines)).start();
        }
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newCachedThreadPool(SlowWhileCold::daemon);
        Random random = new Random(7);
        long endMs = bed.nowMs() + 75_000;
        int sent = 0;
        bed.note("load of " + RATE + " attempts a second");
        while (bed.nowMs() < endMs) {
            Thread.sleep(Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / RATE)));
            String id = String.format("%016x", 0x1000L + ++sent);
            clients.submit(() -> request(id, ends));
        }
        Thread.sleep(6_000);
        ended = true;
        bed.note("clients: sent " + sent + " attempts; they ended with " + new TreeMap<>(ends));
        int twice = 0;
        for (Map.Entry<String, List<String>> run : new TreeMap<>(runs).entrySet()) {
            if (run.getValue().size() < 2) continue;
            twice++;
            if (twice <= 20) bed.note("TWICE is broken: " + run.getKey() + " ran " + run.getValue());
        }
        bed.note(runs.size() + " attempts ran, " + twice + " of them more than once");
        if (runs.size() < 300) throw new Bed.CannotRun("too few attempts ran");
        return twice == 0;
    }

    /** Slows the heads of the groups, 3 of 10 engines, for 0.3 s again and again. */
    static void slowDown(List<Engine> engines) {
        while (!ended) {
            try {
                Thread.sleep(PAUSE_MS);
                List<Engine> heads = engines.stream().filter(it -> it.state.equals("open")).limit(GROUPS).toList();
                heads.forEach(it -> it.slow(true));
                Thread.sleep(SLOW_MS);
                heads.forEach(it -> it.slow(false));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    static void request(String id, Map<String, Integer> ends) {
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.1.21", bed.frontPort), 1_000);
            socket.setSoTimeout(7_000);
            String text = "POST /call/2f HTTP/1.1\r\nHost: " + Bed.HOST + "\r\nX-Bramleyspur-Attempt-Id: " + id
                + "\r\nX-Bramleyspur-Model: " + MODEL + "\r\nX-Bramleyspur-Token-Counts: " + PROMPT + ",80\r\n"
                + "X-Bramleyspur-Prompt-Prefix: 5c1e07a2:40," + id + ":" + (PROMPT - 40) + "\r\n"
                + "X-Bramleyspur-Deadline-Remaining-Ms: 5000\r\nAuthorization: Bearer " + Bed.KEY + "\r\nContent-Length: 4\r\n\r\nabcd";
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            Bed.Answer answer = Bed.Answer.read(socket.getInputStream());
            end = answer.status + (answer.complete ? "" : " broken off");
            if (answer.status == 503) end += " " + new String(answer.body, StandardCharsets.UTF_8).trim().replaceAll("[0-9]+", "N");
        } catch (IOException e) {
            end = e.getClass().getSimpleName();
        }
        ends.merge(end, 1, Integer::sum);
    }

    /** As of zllw-pomorze-grown, with one model of groups of two engines, and a route whose streams may not be resumed. */
    static String configuration() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + Bed.HOST + "\",\"pathPrefix\":\"/call/\","
            + "\"routeType\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":801,\"priority\":1,\"service\":\"poradnik\","
            + "\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":false,\"gapAimMs\":300}],"
            + "\"services\":[{\"name\":\"poradnik\",\"healthPath\":\"/health\",\"maxConnections\":572,\"protocol\":\"h1\",\"tls\":false,"
            + "\"coldStartS\":3.0,\"coldPerS\":28.0,\"engine\":{\"slots\":48,\"kvCapacityTokens\":1126250,\"kvTokenBytes\":49603,"
            + "\"linkMbps\":400000.0,\"stride\":7,\"models\":[{\"name\":\"" + MODEL + "\",\"size\":" + GROUP_SIZE + ",\"share\":1.0,\"pace\":1.0,"
            + "\"loadS\":12.0,\"warmS\":1.1}],\"step_ms\":5.95,\"per_seq_ms\":0.0445,\"context_per_k\":0.00813,\"read_per_s\":50700.0,"
            + "\"pairs_per_m\":0.368,\"chunk\":2048,\"report_lag_ms\":200.0,\"loadsPerS\":3.0,\"loads_at_once\":6,\"delays\":[],"
            + "\"usual\":{\"prompt\":1014,\"answer\":85},\"retainCount\":1,\"far_x\":3.0,\"formMs\":300.0}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"tenant1\",\"apiKeys\":[\"" + Bed.KEY + "\"],\"priority\":1}]}";
    }

    /** A model engine. Its work advances by its own clock, which runs slower while it is slowed. */
    static final class Engine {
        final String id;
        final long born = System.currentTimeMillis();
        private final ServerSocket listener = new ServerSocket();
        private final List<Stream> streams = new CopyOnWriteArrayList<>();
        private long announcements;
        private long orders;
        private long fence;
        private boolean staged;
        private boolean wasReady;
        String group = "";
        private long epoch;
        int rank;
        String state = "";
        private boolean slow;
        private double work;
        private long workAtNs = System.nanoTime();
        private double readUntil;

        Engine(int number) throws IOException {
            id = "i-" + number;
            listener.bind(new InetSocketAddress("127.0.1.31", 0), 400);
            daemon(() -> {
                while (true) {
                    try {
                        Socket socket = listener.accept();
                        daemon(() -> serve(socket)).start();
                    } catch (IOException e) {
                        return;
                    }
                }
            }).start();
            daemon(this::steps).start();
        }

        private synchronized double work() {
            long nowNs = System.nanoTime();
            work += (nowNs - workAtNs) / 1e6 / (slow ? SLOW_FACTOR : 1);
            workAtNs = nowNs;
            return work;
        }

        synchronized void slow(boolean value) {
            work();
            slow = value;
        }

        private void steps() {
            double next = 0;
            while (true) {
                try {
                    Thread.sleep(3);
                } catch (InterruptedException e) {
                    return;
                }
                double now = work();
                if (now < next) continue;
                next = now + STEP_MS;
                for (Stream stream : streams) if (stream.step(now)) streams.remove(stream);
            }
        }

        /** The work after which a prompt is read that waits behind the ones before it. */
        private synchronized double read(int tokens) {
            readUntil = Math.max(readUntil, work()) + tokens / READ_PER_MS;
            return readUntil;
        }

        void beat() {
            String body;
            synchronized (this) {
                String membership = group.isEmpty() ? "" : ",\"group\":" + membership();
                body = "{\"service\":\"poradnik\",\"address\":\"127.0.1.31:" + listener.getLocalPort() + "\",\"zone\":\"brest-a\","
                    + "\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\"coldRemainingMs\":" + Math.max(0, coldUntilMs - bed.nowMs())
                    + ",\"born\":" + born + ",\"sequence\":" + ++announcements + ",\"phase\":\"both\",\"domain\":\"d0\",\"staged\":["
                    + (staged ? "\"" + MODEL + "\"" : "") + "],\"models\":[" + models() + "]" + membership + "}";
            }
            for (int i = 0; i < bed.controls.size(); i++) {
                try {
                    String node = bed.controls.get((int) ((announcements + i) % bed.controls.size()));
                    Bed.call(node, bed.controlPort, "POST", "/-/instances/" + id + "/heartbeat", body, 1_000);
                    return;
                } catch (IOException e) {
                    // The next node is called.
                }
            }
        }

        private String models() {
            return group.isEmpty() ? "" : "{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}";
        }

        private String membership() {
            return "{\"name\":\"" + group + "\",\"epoch\":" + epoch + ",\"rank\":" + rank + ",\"state\":\"" + state + "\"}";
        }

        private void changeAfter(long delayMs, String expected, String next) {
            String of = group + epoch;
            timer.schedule(() -> {
                synchronized (this) {
                    if (!(group + epoch).equals(of) || !state.equals(expected)) return;
                    state = next;
                    wasReady = true;
                    staged = true;
                }
                beat();
            }, delayMs, TimeUnit.MILLISECONDS);
        }

        /** Carries out an order; returns its status. */
        private synchronized int order(String body) {
            long token = number(body, "fencingToken");
            long precondition = number(body, "precondition");
            if (token < fence) return 412;
            fence = token;
            if (precondition >= 0 && precondition != orders) return 409;
            String operation = text(body, "operation");
            String name = text(body, "group");
            long wanted = number(body, "epoch");
            boolean own = name.equals(group) && wanted == epoch;
            switch (operation) {
                case "phase" -> {
                    if (staged) return 200;
                    orders++;
                    timer.schedule(() -> {
                        synchronized (this) {
                            staged = true;
                        }
                        beat();
                    }, 1_200, TimeUnit.MILLISECONDS);
                    return 202;
                }
                case "join" -> {
                    if (own) return 200;
                    if (wanted < epoch) return 412;
                    List<String> members = List.of(body.substring(body.indexOf('[') + 1, body.indexOf(']')).replace("\"", "").split(","));
                    orders++;
                    group = name;
                    epoch = wanted;
                    rank = members.indexOf(id);
                    state = "joining";
                    changeAfter(wasReady ? 200 : 1_100, "joining", "ready");
                    timer.execute(this::beat);
                    return 202;
                }
                case "open" -> {
                    if (!own || rank != 0) return 409;
                    if (state.equals("open")) return 200;
                    if (!state.equals("ready")) return 409;
                    orders++;
                    changeAfter(300, "ready", "open");
                    return 202;
                }
                case "close" -> {
                    if (!own) return 409;
                    if (!state.equals("open")) return 200;
                    orders++;
                    state = "ready";
                    timer.execute(this::beat);
                    return 202;
                }
                default -> {
                    if (!own) return 409;
                    orders++;
                    group = "";
                    state = "";
                    timer.execute(this::beat);
                    return 200;
                }
            }
        }

        private static long number(String body, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(body);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
        }

        private static String text(String body, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
            return matcher.find() ? matcher.group(1) : "";
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    String request = line(in);
                    Map<String, String> headers = new HashMap<>();
                    for (String line = line(in); !line.isEmpty(); line = line(in)) {
                        int colon = line.indexOf(':');
                        headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
                    }
                    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    if (request.startsWith("GET /-/report")) {
                        String report;
                        synchronized (this) {
                            report = "{\"phase\":\"both\",\"models\":[" + models() + "],\"busy\":false,\"sequence\":" + orders
                                + ",\"queued\":0,\"active\":" + streams.size() + ",\"kvUsed\":0,\"kvTotal\":1126250,\"inFlight\":0,\"pace\":1.0"
                                + (group.isEmpty() ? "" : ",\"group\":" + membership()) + "}";
                        }
                        answer(out, 200, "", report);
                    } else if (request.startsWith("POST /-/order")) {
                        String text = new String(body, StandardCharsets.UTF_8);
                        int status = headers.getOrDefault("x-bramleyspur-target-instance", id).equals(id) ? order(text) : 421;
                        bed.note("engine " + id + ": order " + text + " -> " + status);
                        answer(out, status, "", "{}");
                    } else {
                        boolean takes;
                        synchronized (this) {
                            takes = state.equals("open") && headers.getOrDefault("x-bramleyspur-target-instance", id).equals(id);
                        }
                        if (!takes) {
                            answer(out, 421, "X-Bramleyspur-Not-Executed: 1\r\nX-Bramleyspur-Attempt-Id: "
                                + headers.get("x-bramleyspur-attempt-id") + "\r\n", "");
                            continue;
                        }
                        arrivals.computeIfAbsent(id, it -> new CopyOnWriteArrayList<>()).add(bed.nowMs());
                        int prompt = Integer.parseInt(headers.get("x-bramleyspur-token-counts").split(",")[0]);
                        Stream stream = new Stream(this, headers, out, read(prompt));
                        streams.add(stream);
                        stream.await(in);
                        streams.remove(stream);
                        return;
                    }
                }
            } catch (IOException | InterruptedException e) {
                // The caller has closed the connection.
            }
        }

        private static void answer(OutputStream out, int status, String headers, String body) throws IOException {
            out.write(("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int value = in.read(); value != '\n'; value = in.read()) {
                if (value < 0) throw new EOFException();
                if (value != '\r') line.append((char) value);
            }
            return line.toString();
        }
    }

    /** A stream of events; it begins to run with its first one. */
    static final class Stream {
        private final Engine engine;
        private final String id;
        private final String lastEvent;
        private final OutputStream out;
        private final double readAt;
        private final int total = 8 + (int) (Math.random() * 10);
        private int events;
        private boolean over;

        Stream(Engine engine, Map<String, String> headers, OutputStream out, double readAt) {
            this.engine = engine;
            this.id = headers.get("x-bramleyspur-attempt-id");
            this.lastEvent = headers.get("last-event-id");
            this.out = out;
            this.readAt = readAt;
        }

        /** Sends the next event; returns whether the stream is over. */
        synchronized boolean step(double work) {
            if (over || work < readAt) return over;
            try {
                if (events == 0) {
                    runs.computeIfAbsent(id, it -> new CopyOnWriteArrayList<>())
                        .add("on " + engine.id + " at " + bed.nowMs() + " ms" + (lastEvent == null ? "" : " after event " + lastEvent));
                    out.write(("HTTP/1.1 200 OK\r\nX-Bramleyspur-Attempt-Id: " + id + "\r\nX-Bramleyspur-Response-Seal: 3e1b.07.5a2." + engine.id
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                }
                events++;
                String event = "id: " + ((lastEvent == null ? 0 : Integer.parseInt(lastEvent)) + events) + "\ndata: " + id + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                if (events >= total) {
                    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    over = true;
                }
                out.flush();
            } catch (IOException e) {
                over = true;
            }
            if (over) notifyAll();
            return over;
        }

        /** Waits until the stream is over, or its caller has closed the connection. */
        void await(InputStream in) throws InterruptedException {
            Thread watch = daemon(() -> {
                try {
                    in.read();
                } catch (IOException e) {
                    // Closed.
                }
                synchronized (this) {
                    over = true;
                    notifyAll();
                }
            });
            watch.start();
            synchronized (this) {
                while (!over) wait();
            }
        }
    }
}
