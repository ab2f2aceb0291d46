package gatefront.agent;

import gatefront.config.Config;
import gatefront.registry.RegistrySettings;
import gatefront.thrift.ThriftSettings;
import gatefront.thrift.ThriftSettings.Method;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.toml.TomlException;
import gatefront.toml.TomlFile;
import gatefront.toml.TomlTable;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Optional features of an installation beyond the platform's configuration, read from a TOML file. The file is read,
 * and its reader loaded, only if the agent is started with one.
 *
 * @param thrift the Thrift listener and upstream, or null if Thrift is not used
 * @param registry the registry to follow, or null if there is none
 * @param memory the status page and resource caps, or null if all are at their defaults
 * @param ledger the ledger of usage by municipio, or null if there is none
 * @param recovery the state that survives a restart, or null if none is stored
 */
public record Extensions(
        ThriftSettings thrift,
        RegistrySettings registry,
        MemorySettings memory,
        LedgerSettings ledger,
        RecoverySettings recovery) {
    /** Creates extensions that store no state for recovery. */
    public Extensions(ThriftSettings thrift, RegistrySettings registry, MemorySettings memory, LedgerSettings ledger) {
        this(thrift, registry, memory, ledger, null);
    }

    /** No extensions. */
    public static final Extensions NONE = new Extensions(null, null, null, null);

    private static final int MAX_PORT = 65_535;
    private static final Map<String, ThriftEncoding> ENCODINGS = Map.of(
            "binary",
            ThriftEncoding.BINARY,
            "binary-old",
            ThriftEncoding.BINARY_OLD,
            "compact",
            ThriftEncoding.COMPACT);

    /**
     * Reads the extensions file.
     *
     * @param path the file
     * @param config the platform's configuration; the file refers to its classes
     * @return the extensions
     * @throws IllegalArgumentException if the file cannot be used; the message is one line with file, line and key
     */
    public static Extensions read(Path path, Config config) {
        try {
            return parse(path.toString(), TomlFile.read(path, ""), config);
        } catch (TomlException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    static Extensions parse(String file, String text, Config config) throws TomlException {
        TomlTable root = TomlFile.parse(file, text);
        TomlTable table = root.table("thrift");
        ThriftSettings thrift = root.has("thrift") ? thrift(table, config) : null;
        RegistrySettings registry = root.has("registry") ? RegistrySettingsReader.read(root.table("registry")) : null;
        MemorySettings memory = root.has("memory") ? MemorySettings.read(root.table("memory")) : null;
        LedgerSettings ledger = root.has("ledger") ? LedgerSettings.read(root.table("ledger")) : null;
        RecoverySettings recovery =
                root.has("recovery") ? RecoverySettings.read(root.table("recovery"), root.table("rehearsal")) : null;
        root.rejectUnknownKeys();
        return new Extensions(thrift, registry, memory, ledger, recovery);
    }

    private static ThriftSettings thrift(TomlTable table, Config config) throws TomlException {
        InetSocketAddress listen;
        try {
            listen = Config.address(table.text("listen", null));
        } catch (IllegalArgumentException e) {
            throw table.invalid("listen", "must be a literal address and a port, as in \"127.0.0.1:9090\"");
        }
        String framing = table.word("framing", "any", List.of("any", "framed", "unframed"));
        String protocol = table.word("protocol", "any", List.of("any", "binary", "binary-old", "compact"));
        if (framing.equals("any") != protocol.equals("any")) {
            throw table.invalid(
                    framing.equals("any") ? "protocol" : "framing",
                    "must be \"any\" for both framing and protocol, or for neither: "
                            + "both are detected from the first bytes, or both are fixed");
        }
        MessageFormat format =
                framing.equals("any") ? null : new MessageFormat(framing.equals("framed"), ENCODINGS.get(protocol));
        int port = table.integer("nodo_port", -1, 1, MAX_PORT);
        if (!table.has("nodo_port")) {
            throw table.invalid("nodo_port", "is missing; it is the port on which nodos accept Thrift");
        }
        boolean nodoFramed = table.bool("nodo_framed", true);
        boolean thriftProbes =
                table.word("probes", "http", List.of("http", "thrift")).equals("thrift");
        Map<String, Method> methods = new LinkedHashMap<>();
        for (TomlTable methodTable : table.tables("methods")) {
            String name = methodTable.text("name", null);
            int classNumber = config.classes().indexOf(methodTable.word("class", null, config.classes()));
            if (methods.put(name, new Method(classNumber, methodTable.bool("declares", false))) != null) {
                throw methodTable.invalid("name", "\"" + name + "\" appears more than once");
            }
        }
        if (methods.isEmpty()) {
            throw table.invalid("methods", "is missing; add a [[thrift.methods]] table for each method to forward");
        }
        return new ThriftSettings(listen, format, port, nodoFramed, thriftProbes, Map.copyOf(methods));
    }
}
