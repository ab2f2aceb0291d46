import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The stand-ins that the cases of the second review share: discovery, backends and clients, and the start of agents by
 * the deploy file's run line. All addresses are loopback addresses with ports that the system chooses.
 *
 * <p>Environment: {@code CASE} is the case's folder, {@code WORK} a temporary folder, {@code TROUBLE} is 0 for a run
 * without the disruption. The working directory is the project's root.
 */
final class Rig implements Closeable {
    /** Exit statuses of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** A case that takes longer has not run. */
    private static final long MAX_MILLIS = 118_000;

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path WORK = Path.of(System.getenv("WORK"));

    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<Closeable> closeables = new ArrayList<>();

    Rig() throws IOException {
        record = new PrintWriter(
                Files.newBufferedWriter(Path.of(System.getenv("CASE")).resolve("record.txt")), true);
        note("trouble " + (TROUBLE ? "on" : "off"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        thread("time limit", () -> {
            sleep(MAX_MILLIS);
            note("the case took too long");
            System.exit(COULD_NOT_RUN);
        });
    }

    /** Milliseconds since the start of the case. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line to record.txt. */
    void note(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8.3f %s%n", millis() / 1e3, line);
        }
    }

    <T extends Closeable> T own(T closeable) {
        synchronized (closeables) {
            closeables.add(closeable);
        }
        return closeable;
    }

    private void endProcesses() {
        List<Closeable> all;
        synchronized (closeables) {
            all = new ArrayList<>(closeables);
            closeables.clear();
        }
        for (Closeable closeable : all) {
            try {
                closeable.close();
            } catch (IOException e) {
                // it has ended
            }
        }
    }

    /** Ends all processes and listeners, and removes the temporary folder. */
    @Override
    public synchronized void close() {
        endProcesses();
        record.flush();
        try {
            if (Files.exists(WORK)) {
                deleteTree(WORK);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    /** Runs a case; its result is the exit status. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    static void main(Case body) {
        int status = COULD_NOT_RUN;
        Rig rig = null;
        try {
            rig = new Rig();
            status = body.run(rig);
        } catch (Throwable e) {
            e.printStackTrace();
            if (rig != null) {
                rig.note("the case could not run: " + e);
            }
        }
        if (rig != null) {
            rig.note("exit status " + status);
            rig.close();
        }
        System.exit(status);
    }

    // ---- Messages ----

    /** A message of HTTP/1.1 as read from a connection. */
    static final class Message {
        final String start;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        Message(String start) {
            this.start = start;
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** The status of an answer. */
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        /** The target of a request. */
        String target() {
            return start.split(" ")[1];
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            bytes.write(b);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).trim();
    }

    /** Reads a message; null if the connection has ended before it. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Message message = new Message(start);
        for (String field = line(in); ; field = line(in)) {
            if (field == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (field.isEmpty()) {
                break;
            }
            int colon = field.indexOf(':');
            message.headers.put(
                    field.substring(0, colon).trim(), field.substring(colon + 1).trim());
        }
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (!message.header("Content-Length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((head + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    // ---- Servers ----

    /** Answers the messages of one connection. */
    interface Handler {
        /** Answers one request; returns whether the connection is kept. */
        boolean handle(Message request, OutputStream out) throws Exception;
    }

    /** A listener on a loopback port with a thread for each connection. */
    static class Server implements Closeable {
        final ServerSocket listener;
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 512, loopback());
            thread("listener " + port(), this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    thread("connection " + port(), () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
                OutputStream out = socket.getOutputStream();
                for (Message request = read(in); request != null; request = read(in)) {
                    if (!handler.handle(request, out)) {
                        return;
                    }
                }
            } catch (Exception e) {
                // the peer has closed the connection
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** A request as a backend got it. */
    record Arrival(long atMillis, String id, String target, int bodyBytes) {}

    /** How far a backend has come with a long answer. */
    static final class LongAnswer {
        volatile int pieces;
        volatile long lastPieceMillis;
        volatile boolean whole;
        /** When the backend could not go on, as the agent had closed the connection; 0 if it could. */
        volatile long failedMillis;
    }

    /** A sound backend: takes a given time for each request and answers 200 with the request's id as body. */
    static final class Backend implements Closeable {
        final String name;
        final Server server;
        final List<Arrival> arrivals = new ArrayList<>();
        volatile long workMillis = 5;
        volatile long sinceMillis;
        /** Whether answers carry load reports; elsewhere only probes do. */
        volatile boolean reportsInAnswers = true;
        volatile String status = "Ready";
        final String zone;
        final int group;
        /** Until when the backend is silent: it reads nothing and writes nothing. */
        volatile long silentUntilMillis;
        /** Requests with this in their target get a long answer, written in pieces; null for none. */
        volatile String longTarget;

        volatile int pieces;
        volatile int pieceBytes;
        volatile long pieceMillis;
        /** The long answers, by the request's id. */
        final Map<String, LongAnswer> longAnswers = new ConcurrentHashMap<>();

        private final Rig rig;

        Backend(Rig rig, String name, String zone, int group) throws IOException {
            this.name = name;
            this.zone = zone;
            this.group = group;
            this.rig = rig;
            this.server = new Server((request, out) -> {
                awaitSound();
                if (request.target().equals("/healthz") || request.target().equals("/load")) {
                    write(out, "HTTP/1.1 200 OK", "depth=0".getBytes(StandardCharsets.US_ASCII));
                    return true;
                }
                String id = request.header("Request-Id");
                synchronized (arrivals) {
                    arrivals.add(new Arrival(rig.millis(), id, request.target(), request.body.length));
                }
                sleep(workMillis);
                awaitSound();
                if (longTarget != null && request.target().contains(longTarget)) {
                    writeLong(id, out);
                    return true;
                }
                write(
                        out,
                        "HTTP/1.1 200 OK" + (reportsInAnswers ? "\r\nServer-Load: depth=0,concurrent=1" : ""),
                        id.getBytes(StandardCharsets.ISO_8859_1));
                return true;
            });
            rig.own(this);
        }

        private void awaitSound() {
            while (rig.millis() < silentUntilMillis) {
                sleep(5);
            }
        }

        /** Writes a long answer in pieces, at the pace of a slow backend; goes on after a silence. */
        private void writeLong(String id, OutputStream out) throws IOException {
            LongAnswer answer = new LongAnswer();
            longAnswers.put(id, answer);
            byte[] piece = new byte[pieceBytes];
            try {
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + (long) pieces * pieceBytes + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                for (int i = 0; i < pieces; i++) {
                    awaitSound();
                    out.write(piece);
                    answer.pieces = i + 1;
                    answer.lastPieceMillis = rig.millis();
                    sleep(pieceMillis);
                }
                answer.whole = true;
            } catch (IOException e) {
                answer.failedMillis = rig.millis();
                throw e;
            }
        }

        /** How many long answers are under way. */
        long longAnswersUnderWay() {
            return longAnswers.values().stream()
                    .filter(answer -> answer.pieces > 0 && answer.pieces < pieces && answer.failedMillis == 0)
                    .count();
        }

        int count() {
            synchronized (arrivals) {
                return arrivals.size();
            }
        }

        String entry() {
            return "{\"name\":\"" + name + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                    + "\",\"type\":\"small\",\"group\":" + group + ",\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** Discovery: the whole list, and watches that end with changes or after their time. */
    static final class Discovery implements Closeable {
        final Server server;
        private final Rig rig;
        private final List<Backend> backends;
        private long index = 41;
        private final List<Backend> changed = new ArrayList<>();
        private final Map<Backend, Long> changedAt = new LinkedHashMap<>();
        /** When an answer that says that a backend is no longer ready was first written to the agent. */
        final Map<String, Long> writtenMillis = new ConcurrentHashMap<>();
        /** Since when a watch waits; 0 if none does. */
        volatile long watchingSinceMillis;
        /** The time that a call takes once it has an answer, as for a call that waits its turn. */
        volatile long callMillis;
        /** How long a call may wait; it fails with 503 after that. */
        volatile long callTimeoutMillis = 3_000;

        Discovery(Rig rig, List<Backend> backends) throws IOException {
            this.rig = rig;
            this.backends = backends;
            this.server = new Server(this::answer);
            rig.own(this);
        }

        private static final Pattern WATCH = Pattern.compile("/v1/servers\\?since=(\\d+)&timeout_ms=(\\d+)");

        private boolean answer(Message request, OutputStream out) throws Exception {
            Matcher watch = WATCH.matcher(request.target());
            boolean isWatch = watch.matches();
            rig.note("discovery: call " + request.target());
            sleep(Math.min(callMillis, callTimeoutMillis));
            if (callMillis > callTimeoutMillis) {
                write(out, "HTTP/1.1 503 Service Unavailable", new byte[0]);
                rig.note("discovery: answered 503");
                return true;
            }
            String body;
            List<Backend> told = new ArrayList<>();
            synchronized (this) {
                long since = isWatch ? Long.parseLong(watch.group(1)) : -1;
                long until = System.nanoTime() + 1_000_000L * (isWatch ? Math.min(60_000, Long.parseLong(watch.group(2))) : 0);
                watchingSinceMillis = isWatch ? rig.millis() : 0;
                while (isWatch && since >= index && System.nanoTime() < until) {
                    TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, until - System.nanoTime()));
                }
                watchingSinceMillis = 0;
                List<String> entries = new ArrayList<>();
                for (Backend backend : backends) {
                    if (!isWatch || changedAt.getOrDefault(backend, 0L) > since) {
                        entries.add(backend.entry());
                        if (!backend.status.equals("Ready")) {
                            told.add(backend);
                        }
                    }
                }
                body = "{\"index\":" + index + ",\"snapshot\":" + !isWatch + ",\"endpoints\":["
                        + String.join(",", entries) + "]}";
            }
            write(out, "HTTP/1.1 200 OK", body.getBytes(StandardCharsets.ISO_8859_1));
            told.forEach(backend -> writtenMillis.putIfAbsent(backend.name, rig.millis()));
            rig.note("discovery: answered " + body.length() + " bytes, index " + index);
            return true;
        }

        synchronized void change(Backend backend, String status) {
            backend.status = status;
            index++;
            changedAt.put(backend, index);
            writtenMillis.remove(backend.name);
            rig.note("discovery: " + backend.name + " is " + status + " from index " + index);
            notifyAll();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- Agents ----

    /** One agent, started by the deploy file's run line. */
    static final class Agent implements Closeable {
        private static final Pattern LISTENING = Pattern.compile("listening on .*:(\\d+)");
        final Rig rig;
        final Process process;
        final Path log;
        final String name;
        int port;

        Agent(Rig rig, String name, Path config, Path extensions, Path shared, String management) throws IOException {
            this.rig = rig;
            this.name = name;
            this.log = Files.createTempFile(WORK, name + "-", ".log");
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                run = line.startsWith("run = \"") ? line.substring(7, line.length() - 1) : run;
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", shared.toString());
            builder.environment().remove("RELAY_MANAGEMENT");
            if (management != null) {
                builder.environment().put("RELAY_MANAGEMENT", management);
            }
            if (extensions != null) {
                builder.environment().put("GATEFRONT_EXTENSIONS", extensions.toString());
            }
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            rig.own(this);
            rig.note(name + ": started, process " + process.pid());
        }

        /** Waits until the agent has said that it listens and answers 200 at /healthz. */
        boolean awaitReady(long millis) throws IOException {
            long until = rig.millis() + millis;
            while (rig.millis() < until && process.isAlive()) {
                Matcher matcher = LISTENING.matcher(Files.readString(log));
                if (matcher.find()) {
                    port = Integer.parseInt(matcher.group(1));
                    try (Socket socket = new Socket(loopback(), port)) {
                        socket.setSoTimeout(1_000);
                        socket.getOutputStream()
                                .write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                        Message answer = read(new BufferedInputStream(socket.getInputStream()));
                        if (answer != null && answer.status() == 200) {
                            rig.note(name + ": ready at port " + port);
                            return true;
                        }
                    } catch (IOException e) {
                        // not yet
                    }
                }
                sleep(20);
            }
            rig.note(name + (process.isAlive() ? ": not ready" : ": ended with status " + process.exitValue()));
            return false;
        }

        /** Stops the process, or has it go on, by the shell's own kill. */
        void stopOrContinue(String signal) throws Exception {
            int status = new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                    .inheritIO()
                    .start()
                    .waitFor();
            rig.note(name + ": SIG" + signal + (status == 0 ? "" : " failed"));
        }

        /** Sends SIGTERM or SIGKILL. */
        void signal(String signal) {
            rig.note(name + ": SIG" + signal);
            if (signal.equals("KILL")) {
                process.destroyForcibly();
            } else {
                process.destroy();
            }
        }

        boolean awaitEnd(long millis) throws InterruptedException {
            boolean ended = process.waitFor(millis, TimeUnit.MILLISECONDS);
            rig.note(name + (ended ? ": ended with status " + process.exitValue() : ": has not ended"));
            return ended;
        }

        /** Copies the agent's own lines to the record. */
        void noteLog(int maxLines) throws IOException {
            List<String> lines = Files.readAllLines(log, StandardCharsets.UTF_8);
            lines.stream().limit(maxLines).forEach(line -> rig.note(name + " log: " + line));
            if (lines.size() > maxLines) {
                rig.note(name + " log: ... " + (lines.size() - maxLines) + " more lines");
            }
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Writes an agent's configuration. */
    Path config(String fileName, int port, String discovery, String known, String settings) throws IOException {
        Path file = WORK.resolve(fileName);
        Files.writeString(
                file,
                "{\"name\":\"agente-1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"" + Long.toHexString(ThreadLocalRandom.current().nextLong())
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":" + known + ",\"settings\":" + settings + "}");
        return file;
    }

    static String list(List<Backend> backends) {
        List<String> entries = new ArrayList<>();
        backends.forEach(backend -> entries.add(backend.entry()));
        return "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    // ---- Clients ----

    /** A client's connection: one request at a time. */
    static final class Client implements Closeable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.connect(new InetSocketAddress(loopback(), port), 2_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
            out = socket.getOutputStream();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Makes a call at an agent's door; returns the status and the body, or what went wrong. */
    static String door(int port, String method, String path) {
        try (Client client = new Client(port)) {
            client.socket.setSoTimeout(1_000);
            client.out.write((method + " " + path + " HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            Message answer = read(client.in);
            return answer == null
                    ? "closed"
                    : answer.status() + " " + new String(answer.body, StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        }
    }

    static String newId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    /** The head of a request, without the empty line behind it. */
    static String head(String method, String className, String id, String tenant, long timeoutMillis, String more) {
        return method + " /" + className + " HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: "
                + className + (tenant == null ? "" : "\r\nTenant: " + tenant) + "\r\nRequest-Timeout-Ms: "
                + timeoutMillis + more;
    }

    static void deleteTree(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
