import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The stand-ins of the review's cases: the platform (starts agents with the deploy file's line and signals them), a
 * client, servers and discovery. All addresses are loopback. What happens goes to the record with its time.
 */
final class Rig implements AutoCloseable {
    /** Ends a case that cannot run: exit status 2. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String reason) {
            super(reason);
        }
    }

    final Path root;
    final Path temp;
    final boolean trouble;
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<ServerSocket> listeners = new CopyOnWriteArrayList<>();
    private static final AtomicLong IDS = new AtomicLong();

    /** The arguments are the project's root, the case's folder and a temporary folder. */
    Rig(String[] args) throws IOException {
        root = Path.of(args[0]);
        temp = Path.of(args[2]);
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record = Files.newBufferedWriter(Path.of(args[1]).resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        note("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
    }

    /** Writes a line to the record. */
    synchronized void note(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%9.3f %s%n", millis() / 1000.0, line));
            record.flush();
        } catch (IOException e) {
            throw new CannotRun("the record cannot be written: " + e);
        }
    }

    /** Milliseconds since the case began. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    static String newId() {
        return String.format("%08x%08x", System.nanoTime() & 0xffffffffL, IDS.incrementAndGet());
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Runs a case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    interface Body {
        boolean ruleHolds(Rig rig) throws Exception;
    }

    static void run(String[] args, Body body) throws IOException {
        int status;
        Rig rig = new Rig(args);
        daemon(() -> {
            sleep(112_000);
            rig.note("RESULT: the case could not run: it takes too long");
            rig.killAll();
            Runtime.getRuntime().halt(2);
        });
        try {
            boolean holds = body.ruleHolds(rig);
            rig.note(holds ? "RESULT: the rule held" : "RESULT: the rule was broken");
            System.out.println(holds ? "the rule held" : "the rule was broken");
            status = holds ? 0 : 1;
        } catch (Exception e) {
            rig.note("RESULT: the case could not run: " + e);
            System.out.println("the case could not run: " + e);
            status = 2;
        } finally {
            rig.close();
        }
        System.exit(status);
    }

    private void killAll() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        killAll();
        for (ServerSocket listener : listeners) {
            try {
                listener.close();
            } catch (IOException e) {
                // nothing is left to do
            }
        }
    }

    // ---- The platform ----

    /** A process that the case started. */
    final class Agent {
        final String name;
        final Process process;
        final Path log;

        private Agent(String name, Process process, Path log) {
            this.name = name;
            this.process = process;
            this.log = log;
        }

        void signal(String signal) throws Exception {
            note(name + ": SIG" + signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        /** Waits until the agent's own health check says yes. */
        void awaitReady(int port, String path, long millis) throws Exception {
            long end = millis() + millis;
            while (millis() < end) {
                if (!process.isAlive()) {
                    throw new CannotRun(name + " has ended: " + Files.readString(log));
                }
                try (Client client = new Client(port)) {
                    if (client.call("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n", 1000).status == 200) {
                        note(name + ": ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(20);
            }
            throw new CannotRun(name + " is not ready: " + Files.readString(log));
        }

        /** Waits for the end; returns whether it came. */
        boolean awaitEnd(long millis) throws Exception {
            boolean ended = process.waitFor(Math.max(0, millis), TimeUnit.MILLISECONDS);
            note(name + (ended ? ": ended with status " + process.exitValue() : ": still runs"));
            return ended;
        }

        void noteLog() throws IOException {
            for (String line : Files.readAllLines(log)) {
                note(name + " logged: " + line.replace(temp.toString(), "TEMP"));
            }
        }
    }

    /** Starts an agent by the `run` line of the deploy file. */
    Agent startAgent(String name, Path config, Map<String, String> environment) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        if (run == null || !Files.exists(root.resolve("target/gatefront.jar"))) {
            throw new CannotRun("no run line, or the project is not built");
        }
        Path log = temp.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                .directory(root.toFile())
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().remove("GATEFRONT_EXTENSIONS");
        builder.environment().remove("RELAY_MANAGEMENT");
        Path ownTemp = Files.createDirectories(temp.resolve("tmp-" + name));
        builder.environment().put("TMPDIR", ownTemp.toString());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().putAll(environment);
        Process process = builder.start();
        processes.add(process);
        note(name + ": started");
        return new Agent(name, process, log);
    }

    /** Runs a command of the project's jar and returns what it prints. */
    String jar(String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/gatefront.jar"));
        command.addAll(List.of(arguments));
        File out = temp.resolve("command.out").toFile();
        File err = temp.resolve("command.err").toFile();
        Process process = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectOutput(out)
                .redirectError(err)
                .start();
        processes.add(process);
        if (!process.waitFor(30, TimeUnit.SECONDS)) {
            throw new CannotRun(String.join(" ", command) + " does not end");
        }
        String errors = Files.readString(err.toPath());
        if (process.exitValue() != 0) {
            throw new CannotRun(String.join(" ", command) + " ended with " + process.exitValue() + ": " + errors);
        }
        return Files.readString(out.toPath());
    }

    /** Replaces a file as a whole, by a rename. */
    static void replace(Path file, String text) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, text);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    // ---- HTTP ----

    /** A message as it was read. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};
        int status;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message with a length, chunks or no body; null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.first = first;
        if (first.startsWith("HTTP/")) {
            message.status = Integer.parseInt(first.split(" ")[1]);
        }
        for (String header = line(in); !"".equals(header); header = line(in)) {
            if (header == null) {
                throw new EOFException("the head is cut off");
            }
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
        }
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(String.valueOf(line(in)).trim(), 16);
                body.write(exactly(in, size));
                line(in);
                if (size == 0) {
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (message.headers.containsKey("Content-Length")) {
            message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body is cut off");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("a line is cut off");
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.US_ASCII);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** A connection of a client; one request at a time. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        /** Reads the answer; throws EOFException at the end of the connection, SocketTimeoutException after the time. */
        Message answer(long millis) throws IOException {
            socket.setSoTimeout((int) Math.max(1, millis));
            Message message = read(socket.getInputStream());
            if (message == null) {
                throw new EOFException("the connection ended without an answer");
            }
            return message;
        }

        Message call(String request, long millis) throws IOException {
            write(ascii(request));
            return answer(millis);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The head of a request of a client, as the protocol page has it. */
    static String head(String type, String tenant, boolean safe, String key, String id, int timeoutMs, int length) {
        return (safe ? "GET" : "POST") + " /" + type + " HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id
                + "\r\nRequest-Class: " + type + "\r\n" + (tenant == null ? "" : "Tenant: " + tenant + "\r\n")
                + "Request-Timeout-Ms: " + timeoutMs + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (safe ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
    }

    // ---- Servers ----

    /** What a server does with a request whose last byte has come. */
    interface Work {
        /** Returns the body of the 200 answer, or null after the connection was dealt with. */
        String answer(Nodo nodo, Message request, Socket connection) throws Exception;
    }

    /** A stand-in server: one request at a time on each connection; probes are answered 200. */
    final class Nodo {
        final String name;
        final String zone;
        final int port;
        private final Work work;
        /** While it hangs it neither reads nor answers; its connections stay open. */
        volatile boolean hangs;

        Nodo(String name, String zone, Work work) throws IOException {
            this.name = name;
            this.zone = zone;
            this.work = work;
            ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            listeners.add(listener);
            port = listener.getLocalPort();
            daemon(() -> {
                while (!listener.isClosed()) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new FilterInputStream(new BufferedInputStream(socket.getInputStream())) {
                    @Override
                    public int read() throws IOException {
                        int value = super.read();
                        awaitWork();
                        return value;
                    }

                    @Override
                    public int read(byte[] bytes, int from, int length) throws IOException {
                        int count = super.read(bytes, from, length);
                        awaitWork();
                        return count;
                    }
                };
                for (Message request = Rig.read(in); request != null; request = Rig.read(in)) {
                    boolean probe = !request.headers.containsKey("Request-Id");
                    String body = probe ? "" : work.answer(this, request, socket);
                    if (body == null) {
                        return;
                    }
                    socket.getOutputStream()
                            .write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                                    + "\r\nServer-Load: depth=0,concurrent=1\r\n\r\n" + body));
                    socket.getOutputStream().flush();
                }
            }
        }

        private void awaitWork() {
            while (hangs) {
                sleep(20);
            }
        }

        String entry(String status) {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                    + "\",\"type\":\"normal-3n\",\"group\":0,\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":0}";
        }
    }

    /** Resets a connection. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    interface Task {
        void run() throws Exception;
    }

    static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the peer has gone
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    // ---- Discovery ----

    /** A stand-in for discovery, by the protocol page: a whole list, and watches that wait for what is newer. */
    final class Padron {
        final int port;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> versions = new LinkedHashMap<>();
        private long index = 1;
        /** Connections opened before this number are silent. */
        private int silentBefore;

        private int connections;
        private int watches;
        private long lastWatchMillis;

        Padron(List<Nodo> nodos) throws IOException {
            for (Nodo nodo : nodos) {
                entries.put(nodo.name, nodo.entry("Ready"));
                versions.put(nodo.name, index);
            }
            ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            listeners.add(listener);
            port = listener.getLocalPort();
            daemon(() -> {
                while (!listener.isClosed()) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    int number;
                    synchronized (this) {
                        number = connections++;
                    }
                    daemon(() -> serve(socket, number));
                }
            });
        }

        /** Changes an entry; open watches are told. */
        synchronized void set(Nodo nodo, String status) {
            index++;
            entries.put(nodo.name, nodo.entry(status));
            versions.put(nodo.name, index);
            note("discovery: " + nodo.name + " is " + status + ", version " + index);
            notifyAll();
        }

        /** From now on nothing more comes on the connections that are open; new ones are answered at once. */
        synchronized void silenceOpenConnections() {
            silentBefore = connections;
            note("discovery: the open watches have fallen silent");
            notifyAll();
        }

        /** From now on discovery is down: nothing is answered on any connection. */
        synchronized void silenceAll() {
            silentBefore = Integer.MAX_VALUE;
            note("discovery: down, it answers nothing");
            notifyAll();
        }

        synchronized int watches() {
            return watches;
        }

        synchronized long lastWatchMillis() {
            return lastWatchMillis;
        }

        private synchronized boolean silent(int connection) {
            return connection < silentBefore;
        }

        private void serve(Socket socket, int number) throws Exception {
            try (socket) {
                for (Message request = read(socket.getInputStream());
                        request != null;
                        request = read(socket.getInputStream())) {
                    String body = answer(request.first.split(" ")[1], number);
                    if (silent(number)) {
                        note("discovery: nothing is answered on connection " + number);
                        while (socket.getInputStream().read() >= 0) {
                            // nothing is said any more
                        }
                        return;
                    }
                    socket.getOutputStream()
                            .write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
                    socket.getOutputStream().flush();
                }
            }
        }

        private synchronized String answer(String uri, int number) throws InterruptedException {
            int since = uri.indexOf("since=");
            if (since < 0) {
                note("discovery: whole list, version " + index + ", connection " + number);
                return list(true, 0);
            }
            long known = Long.parseLong(uri.substring(since + 6).split("&")[0]);
            long wait = Long.parseLong(uri.substring(uri.indexOf("timeout_ms=") + 11).split("&")[0]);
            watches++;
            lastWatchMillis = millis();
            note("discovery: watch since " + known + " for " + wait + " ms, connection " + number);
            long end = millis() + wait;
            while (index <= known && millis() < end && !silent(number)) {
                wait(Math.max(1, end - millis()));
            }
            return list(false, known);
        }

        private String list(boolean snapshot, long known) {
            List<String> lines = new ArrayList<>();
            entries.forEach((name, entry) -> {
                if (snapshot || versions.get(name) > known) {
                    lines.add(entry);
                }
            });
            return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", lines)
                    + "]}";
        }
    }

    // ---- Settings ----

    /** A class of requests, in the form of the settings. */
    static String type(String name, String semantics, long aimMs, long giveUpMs, String rest) {
        return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"aim-us\":" + aimMs * 1000
                + ",\"give-up-us\":" + giveUpMs * 1000 + ",\"worth\":2.0" + rest + "}";
    }

    /** The configuration of an agent of a small deployment, with the figures of the deployment's site file. */
    static String config(int listen, int discovery, String mode, List<String> classes, List<String> tenants) {
        List<String> realms = new ArrayList<>();
        tenants.forEach(name -> realms.add("{\"name\":\"" + name + "\",\"quota-per-s\":50.0,\"fraction\":0.25}"));
        return "{\"name\":\"agente-1\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
                + "\"known\":{\"index\":0,\"snapshot\":true,\"endpoints\":[]},\n\"settings\":{\n"
                + "\"caps\":{\"cancel\":true,\"dial-timeout-us\":200000,\"idle-close-us\":60000000,\"max-attempts\":6,"
                + "\"may-duplicate\":false,\"peers\":false,\"probes\":true,\"retry-after\":false,"
                + "\"max-retry-after-us\":1000000},\n\"classes\":[" + String.join(",\n", classes) + "],\n"
                + "\"deductions\":{\"cross-zone\":0.03,\"late-fail\":0.08,\"probe\":0.01,\"waste\":0.05},\n"
                + "\"discovery\":\"" + mode + "\",\"granularity-us\":5000,\"group-size\":3,\"me\":0,"
                + "\"kinds\":[\"normal-3n\"],\"zones\":[\"sala-centro\",\"sala-norte\"],\"locality\":0,\n\"realms\":["
                + String.join(",", realms) + "],\n"
                + "\"load-info\":{\"fields\":[\"depth\",\"concurrent\"],\"via\":\"answers\"},\n"
                + "\"obligations\":{\"answer-slack-us\":20000,\"ask-within-us\":10000000,\"cold-from\":0.13,"
                + "\"cold-us\":24000000,\"fall-multiple\":3.0,\"overload-for-us\":3000000,"
                + "\"stop-sending-within-us\":500000}}}\n";
    }
}
