package gatefront.rehearsal;

import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.processes.ProcessReaper;
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

/** Runs an agent in a process of its own and stand-in servers on loopback, for manual experiments. */
public final class Demo implements AutoCloseable {
    private static final long READY_TIMEOUT_MS = 30_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Path folder;
    private final ProcessReaper reaper;
    private final RunContext context;

    /**
     * Starts the servers and the agent, and returns when the agent is ready.
     *
     * @param plan defines the servers; its clients and faults are not used
     * @param command the command that runs an agent
     * @param log receives the log lines of the agent
     * @throws IOException if the agent cannot be started or does not become ready
     */
    public Demo(Plan plan, List<String> command, Consumer<String> log) throws IOException {
        folder = Files.createTempDirectory("gatefront-demo");
        reaper = ProcessReaper.start();
        EventLoop loop = group.next();
        LoopbackAddresses addresses = LoopbackAddresses.forThisProcess();
        try {
            context = loop.submit(() -> {
                        RunContext created = new RunContext(
                                plan,
                                1,
                                0,
                                addresses,
                                (name, address, zone, memory, lines) -> new LoopbackMachine(name, address, loop),
                                owner -> i -> new ProcessAgent(
                                        owner, i, addresses.of(8, i), command, folder, reaper, Runnable::run, log));
                        created.serveUnknownRequests();
                        created.start();
                        return created;
                    })
                    .get();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
            while (!context.agents.get(0).ready()) {
                if (System.nanoTime() > end) {
                    throw new IOException("the agent did not become ready within " + READY_TIMEOUT_MS + " ms");
                }
                Thread.sleep(20);
            }
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause().getMessage()), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while the agent was starting", e);
        }
    }

    /** Returns the address that the agent listens on. */
    public InetSocketAddress address() {
        return context.agents.get(0).address();
    }

    /** Kills the agent and stops the servers. */
    @Override
    public void close() {
        context.agents.forEach(agent -> agent.machine().kill());
        reaper.close();
        context.loop().submit(context::close).awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try {
            Files.deleteIfExists(folder.resolve(context.agents.get(0).name() + ".json"));
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // a temporary folder that remains does no harm
        }
    }
}
