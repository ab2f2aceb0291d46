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

/** The commands that read a registry through the same client as an agent. */
@Command(
        name = "registry",
        mixinStandardHelpOptions = true,
        subcommands = RegistryCommand.Watch.class,
        description = "Read a registry through the same client as an agent.")
final class RegistryCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Commands.USAGE;
    }

    /** Prints the keys below a prefix and then each change, with their revisions. */
    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description =
                    "Print the existing keys, then each change: revision, put or delete, key, value. Ctrl-C stops it.")
    static final class Watch implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(
                index = "0",
                paramLabel = "URL",
                description = "Address of the registry: etcd://ADDRESS:PORT or consul://ADDRESS:PORT.")
        private String url;

        @Parameters(
                index = "1",
                paramLabel = "PREFIX",
                description = "Prefix of the keys, with its trailing slash, for example oaxaca/.")
        private String prefix;

        @Option(names = "--user", description = "User of etcd.")
        private String user;

        @Option(names = "--password-file", description = "File that holds the password of the user.")
        private String passwordFile;

        @Option(names = "--token-file", description = "File that holds the Consul token.")
        private String tokenFile;

        @Option(names = "--once", description = "Exit after the existing keys have been printed.")
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
                        for (KeyChange change : changes) {
                            out.println(change.modRevision()
                                    + (change.value() == null
                                            ? " delete " + change.key()
                                            : " put " + change.key() + " " + change.value()));
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

        /** Builds the settings through the reader of the extensions file, for the same checks and messages. */
        private RegistrySettings settings() throws TomlException {
            URI uri = URI.create(url);
            StringBuilder text = new StringBuilder("[registry]\n");
            addSetting(text, "kind", uri.getScheme());
            text.append("endpoints = [")
                    .append(quoted(String.valueOf(uri.getAuthority())))
                    .append("]\n");
            addSetting(text, "prefix", prefix);
            addSetting(text, "user", user);
            addSetting(text, "password_file", passwordFile);
            addSetting(text, "token_file", tokenFile);
            TomlTable root = TomlFile.parse("command line", text.toString());
            RegistrySettings settings = RegistrySettingsReader.read(root.table("registry"));
            root.rejectUnknownKeys();
            return settings;
        }

        private static void addSetting(StringBuilder text, String key, String value) {
            if (value != null) {
                text.append(key).append(" = ").append(quoted(value)).append('\n');
            }
        }

        private static String quoted(String value) {
            return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
    }
}
