package gatefront.agent;

import gatefront.config.Config;
import gatefront.registry.RegistrySettings;
import gatefront.registry.RegistrySettings.Kind;
import gatefront.registry.RegistrySettings.Reads;
import gatefront.registry.follower.FollowerLimits;
import gatefront.toml.TomlException;
import gatefront.toml.TomlFile;
import gatefront.toml.TomlTable;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads the table {@code [registry]}: which registry an agent follows, and how. */
public final class RegistrySettingsReader {
    private static final double MICROS_PER_SECOND = 1e6;

    private RegistrySettingsReader() {}

    /**
     * Reads the table.
     *
     * @param table the table {@code [registry]}
     * @return the settings
     * @throws TomlException if a value is missing or invalid
     */
    public static RegistrySettings read(TomlTable table) throws TomlException {
        Kind kind =
                Kind.valueOf(table.word("kind", null, List.of("etcd", "consul")).toUpperCase(Locale.ROOT));
        List<InetSocketAddress> endpoints = new ArrayList<>();
        for (String text : table.texts("endpoints")) {
            try {
                endpoints.add(Config.address(text));
            } catch (IllegalArgumentException e) {
                throw table.invalid(
                        "endpoints",
                        "\"" + text + "\" must be a literal address and a port, as in " + "\"127.0.0.1:"
                                + (kind == Kind.ETCD ? 2379 : 8500) + "\"");
            }
        }
        if (endpoints.isEmpty()) {
            throw table.invalid("endpoints", "is missing; it lists the registry's members, as in [\"127.0.0.1:2379\"]");
        }
        String prefix = table.text("prefix", null);
        if (!prefix.matches("[A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*/")) {
            throw table.invalid("prefix", "must be words that each end with a slash, as in \"oaxaca/\"");
        }
        boolean replacesPadron =
                table.word("padron", "beside", List.of("beside", "instead")).equals("instead");
        boolean etcd = kind == Kind.ETCD;
        for (String key : etcd ? List.of("token_file", "service") : List.of("user", "password_file")) {
            if (table.has(key)) {
                throw table.invalid(key, "does not apply to " + (etcd ? "etcd" : "Consul, which has token_file"));
            }
        }
        if (table.has("user") != table.has("password_file")) {
            throw table.invalid(
                    table.has("user") ? "password_file" : "user",
                    "is missing; user and password_file must be set together");
        }
        String user = table.has("user") ? table.text("user", null) : null;
        String service = table.has("service") ? table.text("service", null) : null;
        if (service != null && !service.matches("[A-Za-z0-9._~-]+")) {
            throw table.invalid("service", "must be the name of one service, as in \"cuentas\"");
        }
        Reads reads = Reads.valueOf(table.word("reads", "usual", List.of("usual", "consistent", "stale"))
                .toUpperCase(Locale.ROOT));
        if (etcd && reads == Reads.CONSISTENT) {
            throw table.invalid(
                    "reads", "\"consistent\" is for Consul only; for etcd, \"usual\" reads are already consistent");
        }
        double progressRequestSeconds = table.number("ask_s", 2.0, 0.1, 600);
        double silenceSeconds = table.number("silence_s", 8.0, 0.5, 600);
        double staleSeconds = table.number("stale_s", 30.0, 1, 86_400);
        double rereadSeconds = table.number("reread_s", 600.0, 0, 86_400);
        double backoffSeconds = table.number("backoff_s", 1.0, 0.05, 60);
        if (etcd && silenceSeconds < 2 * progressRequestSeconds) {
            throw table.invalid(
                    "silence_s",
                    "must be at least twice ask_s, " + progressRequestSeconds
                            + ", so that a response can arrive in time");
        }
        if (staleSeconds < silenceSeconds) {
            throw table.invalid("stale_s", "must be at least silence_s, " + silenceSeconds);
        }
        FollowerLimits limits = new FollowerLimits(
                50_000,
                (long) (backoffSeconds * MICROS_PER_SECOND),
                etcd ? 0 : 60_000,
                etcd ? (long) (progressRequestSeconds * MICROS_PER_SECOND) : 0,
                (long) (silenceSeconds * MICROS_PER_SECOND),
                (long) (staleSeconds * MICROS_PER_SECOND),
                (long) (rereadSeconds * MICROS_PER_SECOND),
                table.integer("keys", 20_000, 1, 1_000_000));
        Path stateFile = table.has("state_file") ? Path.of(table.text("state_file", null)) : null;
        if (stateFile != null && !Files.isDirectory(stateFile.toAbsolutePath().getParent())) {
            throw table.invalid(
                    "state_file", "its folder " + stateFile.toAbsolutePath().getParent() + " does not exist");
        }
        return new RegistrySettings(
                kind,
                List.copyOf(endpoints),
                prefix,
                replacesPadron,
                user,
                secret(table, "password_file"),
                secret(table, "token_file"),
                service,
                reads,
                limits,
                stateFile);
    }

    /** Reads a secret from its own file, which can have its own permissions. */
    private static String secret(TomlTable table, String key) throws TomlException {
        if (!table.has(key)) {
            return null;
        }
        String secret = TomlFile.read(Path.of(table.text(key, null)), " (" + key + " of the registry)")
                .strip();
        if (secret.isEmpty() || !secret.matches("[\\x21-\\x7e]+")) {
            throw table.invalid(key, "the file must hold one word of printable ASCII characters and nothing else");
        }
        return secret;
    }
}
