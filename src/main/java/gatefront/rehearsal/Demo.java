package gatefront.rehearsal;

import gatefront.rehearsal.plan.Plan;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One agent in a process of its own and stand-in nodos on loopback, to be tried by hand. */
public final class Demo implements AutoCloseable {
    private static final long READY_MS = 30_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Path folder;
    private final RunContext day;

    /**
     * Starts and returns when the agent is ready.
     *
     * @param plan says which nodos there are; its callers and faults stay away
     * @param command runs an agent
     * @param log gets the agent's lines
     * @throws IOException if it cannot be started
     */
    public Demo(Plan plan, List<String> command, Consumer<String> log) throws IOException {
        folder = Files.createTempDirectory("gatefront-demo");
        EventLoop loop = group.next();
        LoopbackAddresses addresses = LoopbackAddresses.ofProcess();
        try {
            day = loop.submit(() -> {
                        RunContext made = new RunContext(
                                plan,
                                1,
                                0,
                                addresses,
                                (name, address, zone, memory, lines) -> new LoopbackMachine(name, address, loop),
                                it -> i -> new ProcessAgent(
                                        it, i, addresses.of(8, i), command, folder, Runnable::run, log));
                        made.serveUnknownRequests();
                        made.start();
                        return made;
                    })
                    .get();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
            while (!day.agents.get(0).ready()) {
                if (System.nanoTime() > end) {
                    throw new IOException("the agent did not get ready");
                }
                Thread.sleep(20);
            }
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause().getMessage()), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Where the agent listens. */
    public InetSocketAddress address() {
        return day.agents.get(0).address();
    }

    /** Ends the agent and the nodos. */
    @Override
    public void close() {
        day.agents.forEach(each -> each.machine().kill());
        day.loop().submit(day::close).awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try {
            Files.deleteIfExists(folder.resolve(day.agents.get(0).name() + ".json"));
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // a temporary folder that stays does no harm
        }
    }
}
