import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A small deployment on loopback addresses: the project's control and entry processes, started with the commands of the
 * deploy file, and stand-ins for the platform, the operator, the clients and the engines of a plain service.
 */
final class Harness implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Bounds of the settings, as on the site of the pages. */
    static final long HEARTBEAT_MS = 1_200;
    static final long CONTACT_MS = 3_000;
    static final long DRAIN_MS = 2_000;
    static final long ACK_MS = 4_000;
    static final long CONFIG_APPLY_MS = 2_000;
    static final String ATTEMPT_ID = "X-Bramleyspur-Attempt-Id";
    static final String REMAINING = "X-Bramleyspur-Deadline-Remaining-Ms";
    static final String TARGET = "X-Bramleyspur-Target-Instance";
    static final String SEAL = "X-Bramleyspur-Response-Seal";
    static final String NOT_EXECUTED = "X-Bramleyspur-Not-Executed";

    final Path directory;
    final PrintWriter record;
    final long startNs = System.nanoTime();
    final List<Node> controls = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();
    final List<PlainEngine> engines = new ArrayList<>();
    private final List<AutoCloseable> closeables = new CopyOnWriteArrayList<>();
    private final int controlPort;
    private final int frontPort;
    private final int readyPort;
    private final int internalPort;

    /** Whether the disruption is part of the run. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    Harness(String recordFile) throws IOException {
        directory = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        int[] ports = freePorts(5);
        controlPort = ports[0];
        frontPort = ports[1];
        readyPort = ports[2];
        internalPort = ports[3];
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("trouble " + (trouble() ? 1 : 0));
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    void log(String line) {
        record.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startNs) / 1e9, line);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Loopback addresses of the machines: every machine has the same ports, as on the platform. */
    static String controlIp(int index) {
        return "127.0.1." + (index + 1);
    }

    static String entryIp(int index) {
        return "127.0.2." + (index + 1);
    }

    static String engineIp(int index) {
        return "127.0.3." + (index + 1);
    }

    /** Consecutive pairs of ports that are free on all addresses in use; the port after the internal one is free, too. */
    private static int[] freePorts(int count) throws IOException {
        int[] result = new int[count];
        int found = 0;
        for (int tries = 0; tries < 200 && found < count; tries++) {
            int port;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = socket.getLocalPort();
            }
            boolean free = port < 65_000;
            for (int i = 0; i < 3 && free; i++) {
                free = isFree(controlIp(i), port) && isFree(entryIp(i), port) && isFree(controlIp(i), port + 1)
                    && isFree(entryIp(i), port + 1);
            }
            for (int i = 0; i < found; i++) free &= Math.abs(result[i] - port) > 2;
            if (free) result[found++] = port;
        }
        if (found < count) throw new IOException("no free ports");
        return result;
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(ip, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** A process of the project. */
    final class Node {
        final String name;
        final String ip;
        final List<String> command;
        final Path settings;
        Process process;

        Node(String name, String ip, List<String> command, Path settings) {
            this.name = name;
            this.ip = ip;
            this.command = command;
            this.settings = settings;
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("BRAMLEYSPUR_CONFIG", settings.toString());
            File output = directory.resolve(name + ".out").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
            process = builder.start();
            log("started " + name + " pid " + process.pid());
        }

        void signal(String signal) throws IOException {
            log("signal " + signal + " to " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static List<String> runCommand(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.trim().equals("[roles." + role + "]");
            if (inRole && line.startsWith("run")) {
                String value = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(value.split(" +"));
            }
        }
        throw new IOException("no role " + role);
    }

    private String commonSettings(String name, String role, String machineClass, String ip, String zone) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < 3; i++) seeds.append(i == 0 ? "" : ",").append(controlIp(i)).append(':').append(controlPort);
        return "node=" + name + "\nrole=" + role + "\nmachineClass=" + machineClass + "\nip=" + ip + "\nzone=" + zone
            + "\nregion=r\nzones.za=r\nzones.zb=r\nzones.zc=r\ninternalPorts=" + internalPort + ","
            + (internalPort + 1) + "\nseedNodes=" + seeds + "\nbootstrap=true\ndiscovery=self_register\nentryMode=vip\n"
            + "heartbeatIntervalMs=" + HEARTBEAT_MS + "\n"
            + "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,gangs\n"
            + "faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\nbounds.seedLagS=3\n"
            + "bounds.reuseAfterS=2\nbounds.contactMs=" + CONTACT_MS + "\nbounds.ackMs=" + ACK_MS
            + "\nbounds.catchUpS=4\nbounds.drainMs=" + DRAIN_MS
            + "\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=" + CONFIG_APPLY_MS
            + "\nbounds.rollbackSlackMs=250\nbounds.outerMs=5000\nbounds.strictRevoke=false\nbounds.revokeMs=5000\n"
            + "bounds.budgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=196\nbounds.recoverS=12\n"
            + "bounds.passMs=120\nbounds.retryAfterS=0\nbounds.stallMs=4000\nbounds.requireFencing=true\n"
            + "bounds.ceilingWindowS=5\nbounds.ceilingOver=1.1\nconfigMode=highest\n";
    }

    private static String zone(int index) {
        return "z" + (char) ('a' + index % 3);
    }

    /** Starts three control processes and [entryCount] entries. */
    void startProcesses(int entryCount) throws IOException {
        for (int i = 0; i < 3; i++) {
            String name = "core-" + i;
            Path data = Files.createDirectories(directory.resolve(name + "-data"));
            String text = commonSettings(name, "control", "core", controlIp(i), zone(i)) + "serves=control_plane\n"
                + "listen.control=" + controlIp(i) + ":" + controlPort + "\ncountsAsLoss=true\nlimits.cpuShare=0.9\n"
                + "limits.cpuCores=1\nlimits.memoryMb=426\nlimits.maxFds=4096\nlimits.diskMb=128\ndataDir=" + data
                + "\n";
            Path settings = Files.writeString(directory.resolve(name + ".conf"), text);
            controls.add(new Node(name, controlIp(i), runCommand("control"), settings));
        }
        for (int i = 0; i < entryCount; i++) {
            String name = "edge-" + i;
            String text = commonSettings(name, "entry", "edge", entryIp(i), zone(i)) + "serves=edge\nlisten.front="
                + entryIp(i) + ":" + frontPort + "\nlisten.ready=" + entryIp(i) + ":" + readyPort
                + "\ncountsAsLoss=false\nlimits.cpuShare=0.57\nlimits.cpuCores=1\nlimits.memoryMb=430\n"
                + "limits.maxFds=4200\nlimits.diskMb=0\n";
            Path settings = Files.writeString(directory.resolve(name + ".conf"), text);
            entries.add(new Node(name, entryIp(i), runCommand("entry"), settings));
        }
        for (Node node : controls) node.start();
        for (Node node : entries) node.start();
    }

    InetSocketAddress control(int index) {
        return new InetSocketAddress(controlIp(index), controlPort);
    }

    InetSocketAddress front(int index) {
        return new InetSocketAddress(entryIp(index), frontPort);
    }

    /** The platform's question whether an entry is ready. */
    boolean isReady(int entry) {
        try (Connection connection = new Connection(new InetSocketAddress(entryIp(entry), readyPort), 1_000)) {
            return connection.exchange("GET", "/-/ready", Map.of("Host", "ready"), new byte[0]).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long limitMs) {
        long endMs = nowMs() + limitMs;
        while (nowMs() < endMs) {
            boolean all = true;
            for (int i = 0; i < entries.size(); i++) all &= isReady(i);
            if (all) return true;
            sleep(200);
        }
        return false;
    }

    /** Sends an order of the operator to any control process until it is acknowledged; returns whether it was. */
    boolean operatorCall(String path, String body, long limitMs) {
        return operatorCall(path, body, 1_000, limitMs);
    }

    /** The last answer to an order of the operator, for the record. */
    volatile String lastOperatorAnswer = "none";

    /** The same with [callMs] as the time limit of one call. */
    boolean operatorCall(String path, String body, int callMs, long limitMs) {
        long endMs = nowMs() + limitMs;
        for (int i = 0; nowMs() < endMs; i++) {
            InetSocketAddress address = control(i % 3);
            for (int hop = 0; hop < 3 && address != null; hop++) {
                try (Connection connection = new Connection(address, callMs)) {
                    Response response = connection.exchange("POST", path,
                        new TreeMap<>(Map.of("Host", "control", "Content-Type", "application/json")),
                        body.getBytes(StandardCharsets.UTF_8));
                    if (response.status != 307) {
                        lastOperatorAnswer =
                            response.status + " " + new String(response.body, StandardCharsets.UTF_8).trim();
                    }
                    if (response.status == 200) return true;
                    String location = response.header("Location");
                    address = response.status == 307 && location != null ? addressOf(location) : null;
                } catch (IOException e) {
                    address = null;
                }
            }
            sleep(200);
        }
        return false;
    }

    private static InetSocketAddress addressOf(String location) {
        String authority = location.substring("http://".length());
        authority = authority.substring(0, authority.indexOf('/'));
        int colon = authority.lastIndexOf(':');
        return new InetSocketAddress(authority.substring(0, colon), Integer.parseInt(authority.substring(colon + 1)));
    }

    @Override
    public synchronized void close() {
        for (AutoCloseable closeable : closeables) {
            try {
                closeable.close();
            } catch (Exception e) {
                // Already closed.
            }
        }
        closeables.clear();
        for (Node node : controls) if (node.process != null) node.process.destroyForcibly();
        for (Node node : entries) if (node.process != null) node.process.destroyForcibly();
        String keep = System.getenv("KEEP_LOGS");
        try {
            for (Node node : controls) if (node.process != null) node.process.waitFor(5, TimeUnit.SECONDS);
            for (Node node : entries) if (node.process != null) node.process.waitFor(5, TimeUnit.SECONDS);
            if (keep != null) {
                Path target = Files.createDirectories(Path.of(keep));
                for (Node node : controls) copy(node.name, target);
                for (Node node : entries) copy(node.name, target);
            }
            if (Files.exists(directory)) {
                try (var paths = Files.walk(directory)) {
                    paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
                }
            }
        } catch (IOException | InterruptedException e) {
            // The temporary folder is left to the system.
        }
    }

    private void copy(String name, Path target) throws IOException {
        Path source = directory.resolve(name + ".out");
        if (Files.exists(source)) {
            Files.copy(source, target.resolve(name + ".out"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
    }

    void onClose(AutoCloseable closeable) {
        closeables.add(closeable);
    }

    /** A response, or a request, that was read. */
    static final class Response {
        final int status;
        final String startLine;
        final Map<String, String> headers;
        final byte[] body;

        Response(String startLine, Map<String, String> headers, byte[] body) {
            this.startLine = startLine;
            this.headers = headers;
            this.body = body;
            String[] words = startLine.split(" ");
            this.status = startLine.startsWith("HTTP/") ? Integer.parseInt(words[1]) : 0;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** A client's connection; its time limit covers connecting and each wait for bytes. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Connection(InetSocketAddress address, int timeoutMs) throws IOException {
            try {
                socket.setTcpNoDelay(true);
                socket.connect(address, timeoutMs);
                socket.setSoTimeout(timeoutMs);
                in = new java.io.BufferedInputStream(socket.getInputStream());
                out = socket.getOutputStream();
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        Response exchange(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            send(method, path, headers, body);
            return readMessage(in, method.equals("HEAD"));
        }

        void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            out.write(head(method + " " + path + " HTTP/1.1", headers,
                method.equals("GET") && body.length == 0 ? -1 : body.length));
            out.write(body);
            out.flush();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed.
            }
        }
    }

    static byte[] head(String startLine, Map<String, String> headers, int length) {
        StringBuilder text = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (length >= 0) text.append("Content-Length: ").append(length).append("\r\n");
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a whole message; throws if it is not complete. */
    static Response readMessage(InputStream in, boolean withoutBody) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (!withoutBody && headers.containsKey("content-length")) {
            body = readBytes(in, Integer.parseInt(headers.get("content-length")));
        } else if (!withoutBody && "chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                all.write(readBytes(in, size));
                readLine(in);
            }
            readLine(in);
            body = all.toByteArray();
        }
        return new Response(startLine, headers, body);
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    private static byte[] readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the message ends early");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) throw new EOFException("the connection was closed");
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }

    /** What is known of one request of a client. */
    static final class Sent {
        final String id;
        volatile long sentMs;
        volatile long answeredMs;
        volatile String answer = "none";

        Sent(String id) {
            this.id = id;
        }
    }

    /** Sends a request on a new connection and records how it was answered. */
    Sent request(int entry, String host, String method, String path, byte[] body, int deadlineMs, String id) {
        Sent sent = new Sent(id);
        sent.sentMs = nowMs();
        try (Connection connection = new Connection(front(entry), 1_000)) {
            connection.socket.setSoTimeout(deadlineMs);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", host);
            headers.put(ATTEMPT_ID, id);
            headers.put(REMAINING, Integer.toString(deadlineMs));
            Response response = connection.exchange(method, path, headers, body);
            sent.answer = Integer.toString(response.status);
        } catch (IOException e) {
            sent.answer = "failed: " + e.getMessage();
        }
        sent.answeredMs = nowMs();
        return sent;
    }

    /** An arrival of a request at an engine. */
    static final class Run {
        final String id;
        final long atMs;
        volatile boolean answered;

        Run(String id, long atMs) {
            this.id = id;
            this.atMs = atMs;
        }
    }

    /** An engine of a plain service: answers each request after [workMs] and announces itself. */
    final class PlainEngine {
        final String id;
        final String ip;
        final String service;
        final int workMs;
        final int slots;
        final List<Run> runs = new CopyOnWriteArrayList<>();
        final AtomicInteger running = new AtomicInteger();
        final AtomicLong sequence = new AtomicLong();
        final long bornMs = System.currentTimeMillis();
        final ServerSocket server;
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        volatile boolean announces = true;
        volatile boolean ended;

        PlainEngine(int index, String service, int slots, int workMs) throws IOException {
            this.id = "i-" + Long.toHexString(0x7f3a0000L + index);
            this.ip = engineIp(index);
            this.service = service;
            this.slots = slots;
            this.workMs = workMs;
            server = new ServerSocket(0, 128, InetAddress.getByName(ip));
            onClose(this::end);
            daemon(this::accept);
            engines.add(this);
        }

        String announcement(long number) {
            return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + server.getLocalPort()
                + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + number + ",\"born\":" + bornMs + "}";
        }

        /** Announces itself to the control process [node]; returns whether that was acknowledged within a second. */
        boolean announce(int node, long number) {
            return call(node, "/-/instances/" + id + "/heartbeat", announcement(number), 1_000);
        }

        boolean call(int node, String path, String body, int timeoutMs) {
            try (Connection connection = new Connection(control(node), timeoutMs)) {
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("Host", "control");
                headers.put("Content-Type", "application/json");
                return connection.exchange("POST", path, headers, body.getBytes(StandardCharsets.UTF_8)).status / 100
                    == 2;
            } catch (IOException e) {
                return false;
            }
        }

        /** Announces itself at each interval, to the next node after a failure. */
        void startAnnouncing(int firstNode) {
            daemon(() -> {
                int node = firstNode;
                while (announces && !ended) {
                    long beganMs = nowMs();
                    for (int i = 0; i < 3 && announces && !ended; i++) {
                        if (announce(node % 3, sequence.incrementAndGet())) break;
                        node++;
                    }
                    sleep(HEARTBEAT_MS - (nowMs() - beganMs));
                }
            });
        }

        private void accept() {
            while (!ended) {
                try {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                while (!ended) {
                    Response request = readMessage(in, false);
                    answer(request, socket.getOutputStream());
                }
            } catch (IOException | RuntimeException e) {
                // The caller has closed the connection.
            } finally {
                sockets.remove(socket);
            }
        }

        private void answer(Response request, OutputStream out) throws IOException {
            String attempt = request.header(ATTEMPT_ID);
            String target = request.header(TARGET);
            if (request.startLine.startsWith("GET /health")) {
                respond(out, 200, Map.of("X-Bramleyspur-Instance-Id", id), new byte[0]);
                return;
            }
            if (target != null && !target.equals(id)) {
                respond(out, 421, new TreeMap<>(Map.of(NOT_EXECUTED, "1")), new byte[0]);
                return;
            }
            if (attempt == null) {
                respond(out, 400, new TreeMap<>(Map.of(NOT_EXECUTED, "1")), new byte[0]);
                return;
            }
            if (running.incrementAndGet() > slots + 24) {
                running.decrementAndGet();
                respond(out, 503, new TreeMap<>(Map.of(NOT_EXECUTED, "1", ATTEMPT_ID, attempt)), new byte[0]);
                return;
            }
            Run run = new Run(attempt, nowMs());
            runs.add(run);
            log("run " + attempt + " at " + id);
            sleep(workMs);
            int now = running.decrementAndGet();
            if (ended) return;
            respond(out, 200, new TreeMap<>(Map.of(ATTEMPT_ID, attempt, SEAL, "seal." + attempt,
                "X-Bramleyspur-Engine-Load", now + ",0," + slots)), ("done " + attempt + "\n").getBytes());
            run.answered = true;
        }

        private void respond(OutputStream out, int status, Map<String, String> headers, byte[] body)
            throws IOException {
            out.write(head("HTTP/1.1 " + status + " S", headers, body.length));
            out.write(body);
            out.flush();
        }

        /** Ends the engine: it listens no more, and its connections are closed. */
        void end() {
            if (ended) return;
            ended = true;
            try {
                server.close();
            } catch (IOException e) {
                // Closed.
            }
            for (Socket socket : sockets) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // Closed.
                }
            }
        }
    }

    /** Collects the results of requests that are sent at a fixed rate. */
    static final class Load {
        final Map<String, Sent> sent = new ConcurrentHashMap<>();
        volatile boolean stopped;
    }
}
