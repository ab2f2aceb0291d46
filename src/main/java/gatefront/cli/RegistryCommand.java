package gatefront.cli;

import gatefront.agent.RegistrySettingsReader;
import gatefront.registry.RegistryClient;
import gatefront.registry.RegistrySettings;
import gatefront.registry.follower.KeyChange;
import gatefront.registry.follower.KeyEntry;
import gatefront.toml.TomlException;
import gatefront.toml.TomlFile;
import gatefront.toml.TomlTable;
import gatefront.transport.SocketTransport;
import java.io.PrintWriter;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What a registry holds below a prefix and how it changes, as an agent would see it. */
@Command(
        name = "registry",
        mixinStandardHelpOptions = true,
        subcommands = RegistryCommand.Watch.class,
        description = "Look into a registry as an agent does.")
final class RegistryCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Commands.USAGE;
    }

    /** Prints each change with its revision. */
    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description =
                    "Print what is there and then each change: revision, put or delete, key, value. Ctrl-C ends it.")
    static final class Watch implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "URL", description = "etcd://ADDRESS:PORT or consul://ADDRESS:PORT")
        private String url;

        @Parameters(index = "1", paramLabel = "PREFIX", description = "with its last slash, as in oaxaca/")
        private String prefix;

        @Option(names = "--user", description = "of etcd")
        private String user;

        @Option(names = "--password-file", description = "where the user's password stands")
        private String passwordFile;

        @Option(names = "--token-file", description = "where Consul's token stands")
        private String tokenFile;

        @Option(names = "--once", description = "end when what is there has been printed")
        private boolean once;

        @Override
        public Integer call() throws TomlException, InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            RegistrySettings settings = settings();
            SocketTransport sockets = new SocketTransport();
            CountDownLatch done = new CountDownLatch(1);
            RegistryClient[] client = new RegistryClient[1];
            sockets.loop().execute(() -> {
                client[0] = new RegistryClient(sockets, settings, System.nanoTime(), new RegistryClient.Listener() {
                    @Override
                    public void changed(boolean full, List<KeyChange> changes, Map<String, KeyEntry> all) {
                        for (KeyChange each : changes) {
                            out.println(each.modRevision()
                                    + (each.value() == null
                                            ? " delete " + each.key()
                                            : " put " + each.key() + " " + each.value()));
                        }
                        out.flush();
                        if (once) {
                            done.countDown();
                        }
                    }

                    @Override
                    public void staleChanged(boolean isStale) {
                        out.println(isStale ? "# stale" : "# confirmed again");
                        out.flush();
                    }
                });
                client[0].start();
            });
            done.await();
            sockets.loop().execute(() -> {
                client[0].close();
                sockets.close(() -> {});
            });
            return 0;
        }

        /** The same checks as for the file of our own, and the same words. */
        private RegistrySettings settings() throws TomlException {
            URI uri = URI.create(url);
            StringBuilder text = new StringBuilder("[registry]\n");
            add(text, "kind", uri.getScheme());
            text.append("endpoints = [")
                    .append(quoted(String.valueOf(uri.getAuthority())))
                    .append("]\n");
            add(text, "prefix", prefix);
            add(text, "user", user);
            add(text, "password_file", passwordFile);
            add(text, "token_file", tokenFile);
            TomlTable top = TomlFile.parse("command line", text.toString());
            RegistrySettings settings = RegistrySettingsReader.read(top.table("registry"));
            top.rejectUnknownKeys();
            return settings;
        }

        private static void add(StringBuilder text, String key, String value) {
            if (value != null) {
                text.append(key).append(" = ").append(quoted(value)).append('\n');
            }
        }

        private static String quoted(String text) {
            return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
    }
}
