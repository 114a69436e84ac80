import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: control and entry processes with the commands of deploy/system.toml, each on a
 * loopback address of its own, and what a client, an engine and an operator need to talk to them. Run from the root of
 * the repository.
 */
final class Bed implements AutoCloseable {
    static final String HOST = "review.example";
    static final String KEY = "reviewkey0001";
    static final String SERVICE = "registre";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path directory;
    final int internalPort;
    final int controlPort;
    final int frontPort;
    final int readyPort;
    final List<String> controls = new ArrayList<>();
    /** Lines that are added to every settings file; the last line with a name counts. */
    final List<String> extraSettings = new ArrayList<>();
    private final PrintStream record;
    private final long startedNs = System.nanoTime();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<Process> others = new ArrayList<>();
    private final Map<String, String> commands = new LinkedHashMap<>();
    private final Thread hook = new Thread(this::stopAll);

    Bed(Path recordFile, int controlCount) throws IOException {
        record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
        directory = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(hook);
        int[] ports = freePorts(5);
        // The metrics of a process are served at the port after its internal one.
        internalPort = ports[0];
        controlPort = ports[2];
        frontPort = ports[3];
        readyPort = ports[4];
        for (int i = 0; i < controlCount; i++) controls.add("127.0.1." + (11 + i));
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) role = line.substring(7, line.indexOf(']'));
            if (line.startsWith("run = ")) commands.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
        }
        note("trouble " + (trouble ? 1 : 0) + ", " + controlCount + " control instances");
    }

    /** Ports that are free on all loopback addresses; the second one follows the first. */
    private static int[] freePorts(int count) throws IOException {
        for (int tries = 0; tries < 50; tries++) {
            List<ServerSocket> sockets = new ArrayList<>();
            try {
                sockets.add(new ServerSocket(0));
                sockets.add(new ServerSocket(sockets.get(0).getLocalPort() + 1));
                while (sockets.size() < count) sockets.add(new ServerSocket(0));
                return sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
            } catch (IOException | IllegalArgumentException e) {
                // The following port is taken; tried with another one.
            } finally {
                for (ServerSocket socket : sockets) socket.close();
            }
        }
        throw new IOException("no free ports");
    }

    long nowMs() {
        return (System.nanoTime() - startedNs) / 1_000_000;
    }

    synchronized void note(String text) {
        record.printf("%7d ms  %s%n", nowMs(), text);
    }

    /** Starts the control instance or entry [name] of [role] at [ip], and returns its process. */
    Process start(String role, String name, String ip, boolean bootstrap, boolean keepsSettings) throws IOException {
        Path settings = directory.resolve(name + ".conf");
        if (!keepsSettings) Files.writeString(settings, settings(role, name, ip, bootstrap));
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(commands.get(role).split(" ")));
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(it -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(it));
        environment.put("BRAMLEYSPUR_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.put(name, process);
        note("started " + role + " " + name);
        return process;
    }

    String settings(String role, String name, String ip, boolean bootstrap) {
        List<String> lines = new ArrayList<>(List.of(
            "node=" + name, "role=" + role, "ip=" + ip, "zone=brest-a", "region=bzh-ouest", "zones.brest-a=bzh-ouest",
            "internalPorts=" + internalPort + "," + (internalPort + 1),
            "seedNodes=" + String.join(",", controls.stream().map(it -> it + ":" + controlPort).toList()),
            "bootstrap=" + bootstrap, "heartbeatIntervalMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,gangs",
            "faultTolerance.machines=1", "bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8",
            "bounds.configApplyMs=2000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=198"));
        if (role.equals("entry")) {
            lines.add("machineClass=edge");
            lines.add("listen.front=" + ip + ":" + frontPort);
            lines.add("listen.ready=" + ip + ":" + readyPort);
        } else {
            lines.add("machineClass=core");
            lines.add("listen.control=" + ip + ":" + controlPort);
            lines.add("dataDir=" + directory.resolve("data-" + name));
        }
        lines.addAll(extraSettings);
        return String.join("\n", lines) + "\n";
    }

    /** Starts all control instances and the entries at [entries], and waits until the entries are ready with [configuration]. */
    void startAll(List<String> entries, String configuration) throws Exception {
        for (int i = 0; i < controls.size(); i++) start("control", "control-" + i, controls.get(i), true, false);
        for (int i = 0; i < entries.size(); i++) start("entry", "entry-" + i, entries.get(i), true, false);
        configure(configuration, 30_000);
        for (String entry : entries) awaitReady(entry, 30_000);
    }

    void awaitReady(String entry, long limitMs) throws Exception {
        long endMs = nowMs() + limitMs;
        while (true) {
            try {
                if (call(entry, readyPort, "GET", "/-/ready", null, 1_000).status == 200) break;
            } catch (IOException e) {
                // Not listening yet.
            }
            if (nowMs() > endMs) throw new CannotRun("entry " + entry + " is not ready");
            Thread.sleep(100);
        }
        note("entry " + entry + " is ready");
    }

    /** Sends a configuration as the operator does, until it is acknowledged. */
    void configure(String body, long limitMs) throws Exception {
        long endMs = nowMs() + limitMs;
        for (int i = 0; nowMs() < endMs; i++) {
            try {
                Answer answer = operate("POST", "/-/configuration/replace", body, controls.get(i % controls.size()));
                if (answer.status == 200) {
                    note("operator: configuration acknowledged");
                    return;
                }
            } catch (IOException e) {
                // Another node is asked.
            }
            Thread.sleep(200);
        }
        throw new CannotRun("the configuration was not acknowledged");
    }

    /** A call to the control plane at [node] that follows redirects twice. */
    Answer operate(String method, String path, String body, String node) throws IOException {
        String at = node;
        for (int i = 0; ; i++) {
            Answer answer = call(at, controlPort, method, path, body, 1_000);
            String location = answer.headers.get("location");
            if (answer.status != 307 || location == null || i == 2) return answer;
            at = location.substring("http://".length()).split(":")[0];
        }
    }

    static Answer call(String ip, int port, String method, String path, String body, int limitMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), limitMs);
            socket.setSoTimeout(limitMs);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            return Answer.read(socket.getInputStream());
        }
    }

    /** Starts a stand-in as a process of its own: the class [name] with [arguments], from the classes of this one. */
    Process stand(String name, String... arguments) throws Exception {
        Path classes = Path.of(Bed.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        List<String> command = new ArrayList<>(List.of("java", "-Xmx128m", "-cp", classes.toString(), name));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        others.add(process);
        return process;
    }

    /** Ends a process at once, as a crash does. */
    void kill(Process process) throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** What the process [name] wrote to its log. */
    String log(String name) throws IOException {
        return Files.readString(directory.resolve(name + ".log"));
    }

    private void stopAll() {
        List<Process> all = new ArrayList<>(others);
        all.addAll(processes.values());
        all.forEach(Process::destroyForcibly);
        for (Process process : all) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
        } catch (IOException e) {
            // The temporary folder is left behind.
        }
    }

    @Override
    public void close() {
        stopAll();
        record.flush();
    }

    /** The case could not run. */
    static final class CannotRun extends Exception {
        CannotRun(String message) {
            super(message);
        }
    }

    /** An answer as a client sees it; [complete] if it ended as its framing says. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;
        String end = "";

        /** Reads one answer; an answer that breaks off before its head ends is an error. */
        static Answer read(InputStream in) throws IOException {
            Answer answer = new Answer();
            String statusLine = line(in);
            answer.status = Integer.parseInt(statusLine.split(" ")[1]);
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                answer.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                if ("chunked".equalsIgnoreCase(answer.headers.get("transfer-encoding"))) {
                    while (true) {
                        int size = Integer.parseInt(line(in).trim(), 16);
                        for (int i = 0; i < size; i++) body.write(next(in));
                        line(in);
                        if (size == 0) break;
                    }
                } else {
                    int size = Integer.parseInt(answer.headers.getOrDefault("content-length", "0"));
                    for (int i = 0; i < size; i++) body.write(next(in));
                }
                answer.complete = true;
                answer.end = "complete by its framing";
            } catch (IOException e) {
                answer.end = "broke off: " + e.getMessage();
            }
            answer.body = body.toByteArray();
            return answer;
        }

        private static int next(InputStream in) throws IOException {
            int value = in.read();
            if (value < 0) throw new IOException("end of the connection");
            return value;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int value = next(in); value != '\n'; value = next(in)) if (value != '\r') line.append((char) value);
            return line.toString();
        }
    }

    /** A heartbeat of a plain engine. */
    static String heartbeat(String address, long born, long sequence) {
        return "{\"service\":\"" + SERVICE + "\",\"address\":\"" + address + "\",\"zone\":\"brest-a\",\"version\":\"v1\","
            + "\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":" + born + ",\"sequence\":" + sequence + "}";
    }

    /** A configuration with one route to a plain service. */
    static String configuration(long version, String routeType, long timeoutMs, int maxAttempts) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/call/\","
            + "\"routeType\":\"" + routeType + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":400,\"priority\":1,"
            + "\"service\":\"" + SERVICE + "\",\"maxAttempts\":" + maxAttempts + ",\"public\":false}],"
            + "\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConnections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"tenant1\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }
}
