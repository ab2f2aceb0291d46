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
    private static final double SECOND = 1e6;

    private RegistrySettingsReader() {}

    /**
     * Takes the table.
     *
     * @param table with the keys of it
     * @return what it says
     * @throws TomlException if it cannot be used
     */
    public static RegistrySettings read(TomlTable table) throws TomlException {
        Kind kind =
                Kind.valueOf(table.word("kind", null, List.of("etcd", "consul")).toUpperCase(Locale.ROOT));
        List<InetSocketAddress> endpoints = new ArrayList<>();
        for (String each : table.texts("endpoints")) {
            try {
                endpoints.add(Config.address(each));
            } catch (IllegalArgumentException e) {
                throw table.invalid(
                        "endpoints",
                        "\"" + each + "\" is to be a literal address and a port, as in " + "\"127.0.0.1:"
                                + (kind == Kind.ETCD ? 2379 : 8500) + "\"");
            }
        }
        if (endpoints.isEmpty()) {
            throw table.invalid("endpoints", "is missing; it lists the registry's members, as in [\"127.0.0.1:2379\"]");
        }
        String prefix = table.text("prefix", null);
        if (!prefix.matches("[A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*/")) {
            throw table.invalid("prefix", "is to be words with a slash behind each, as in \"oaxaca/\"");
        }
        boolean instead =
                table.word("padron", "beside", List.of("beside", "instead")).equals("instead");
        boolean etcd = kind == Kind.ETCD;
        for (String key : etcd ? List.of("token_file", "service") : List.of("user", "password_file")) {
            if (table.has(key)) {
                throw table.invalid(key, "means nothing for " + (etcd ? "etcd" : "Consul, which has token_file"));
            }
        }
        if (table.has("user") != table.has("password_file")) {
            throw table.invalid(
                    table.has("user") ? "password_file" : "user", "is missing; user and password_file go together");
        }
        String user = table.has("user") ? table.text("user", null) : null;
        String service = table.has("service") ? table.text("service", null) : null;
        if (service != null && !service.matches("[A-Za-z0-9._~-]+")) {
            throw table.invalid("service", "is to be the name of one service, as in \"cuentas\"");
        }
        Reads reads = Reads.valueOf(table.word("reads", "usual", List.of("usual", "consistent", "stale"))
                .toUpperCase(Locale.ROOT));
        if (etcd && reads == Reads.CONSISTENT) {
            throw table.invalid("reads", "\"consistent\" is what etcd does by itself: \"usual\"");
        }
        double ask = table.number("ask_s", 2.0, 0.1, 600);
        double silence = table.number("silence_s", 8.0, 0.5, 600);
        double stale = table.number("stale_s", 30.0, 1, 86_400);
        double reread = table.number("reread_s", 600.0, 0, 86_400);
        double most = table.number("backoff_s", 1.0, 0.05, 60);
        if (etcd && silence < 2 * ask) {
            throw table.invalid(
                    "silence_s", "is to be at least twice ask_s, " + ask + ": an answer needs time to come");
        }
        if (stale < silence) {
            throw table.invalid("stale_s", "is to be at least silence_s, " + silence);
        }
        FollowerLimits bounds = new FollowerLimits(
                50_000,
                (long) (most * SECOND),
                etcd ? 0 : 60_000,
                etcd ? (long) (ask * SECOND) : 0,
                (long) (silence * SECOND),
                (long) (stale * SECOND),
                (long) (reread * SECOND),
                table.integer("keys", 20_000, 1, 1_000_000));
        Path state = table.has("state_file") ? Path.of(table.text("state_file", null)) : null;
        if (state != null && !Files.isDirectory(state.toAbsolutePath().getParent())) {
            throw table.invalid(
                    "state_file", "its folder " + state.toAbsolutePath().getParent() + " is not there");
        }
        return new RegistrySettings(
                kind,
                List.copyOf(endpoints),
                prefix,
                instead,
                user,
                secret(table, "password_file"),
                secret(table, "token_file"),
                service,
                reads,
                bounds,
                state);
    }

    /** Secrets stand in files of their own, which can have rights of their own. */
    private static String secret(TomlTable table, String key) throws TomlException {
        if (!table.has(key)) {
            return null;
        }
        String secret = TomlFile.read(Path.of(table.text(key, null)), " (" + key + " of the registry)")
                .strip();
        if (secret.isEmpty() || !secret.matches("[\\x21-\\x7e]+")) {
            throw table.invalid(key, "the file is to hold one word of plain letters, and nothing else");
        }
        return secret;
    }
}
