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
 * What an installation has beside the platform's configuration, from a TOML file of our own. It is read, and its
 * reader loaded, only where one is named.
 *
 * @param thrift how the agent speaks Thrift, or null if it does not
 * @param registry which registry it follows, or null if none
 * @param memory where what it holds is shown, and other caps; or null
 * @param ledger where use by municipio is written, or null if it is not
 * @param recovery what is kept over the agent's death, or null if nothing is
 */
public record Extensions(
        ThriftSettings thrift,
        RegistrySettings registry,
        MemorySettings memory,
        LedgerSettings ledger,
        RecoverySettings recovery) {
    /** Without anything that is kept. */
    public Extensions(ThriftSettings thrift, RegistrySettings registry, MemorySettings memory, LedgerSettings ledger) {
        this(thrift, registry, memory, ledger, null);
    }

    /** None. */
    public static final Extensions NONE = new Extensions(null, null, null, null);

    private static final int PORT_MOST = 65_535;
    private static final Map<String, ThriftEncoding> ENCODINGS = Map.of(
            "binary",
            ThriftEncoding.BINARY,
            "binary-old",
            ThriftEncoding.BINARY_OLD,
            "compact",
            ThriftEncoding.COMPACT);

    /**
     * Reads the file.
     *
     * @param path where it is
     * @param config the platform's configuration, whose classes it names
     * @return what it says
     * @throws IllegalArgumentException if it cannot be used; the message is one line with file, line and key
     */
    public static Extensions read(Path path, Config config) {
        try {
            return parse(path.toString(), TomlFile.read(path, ""), config);
        } catch (TomlException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    static Extensions parse(String file, String text, Config config) throws TomlException {
        TomlTable top = TomlFile.parse(file, text);
        TomlTable table = top.table("thrift");
        ThriftSettings thrift = top.has("thrift") ? thrift(table, config) : null;
        RegistrySettings registry = top.has("registry") ? RegistrySettingsReader.read(top.table("registry")) : null;
        MemorySettings memory = top.has("memory") ? MemorySettings.read(top.table("memory")) : null;
        LedgerSettings ledger = top.has("ledger") ? LedgerSettings.read(top.table("ledger")) : null;
        RecoverySettings recovery =
                top.has("recovery") ? RecoverySettings.read(top.table("recovery"), top.table("rehearsal")) : null;
        top.rejectUnknownKeys();
        return new Extensions(thrift, registry, memory, ledger, recovery);
    }

    private static ThriftSettings thrift(TomlTable table, Config config) throws TomlException {
        InetSocketAddress listen;
        try {
            listen = Config.address(table.text("listen", null));
        } catch (IllegalArgumentException e) {
            throw table.invalid("listen", "is to be a literal address and a port, as in \"127.0.0.1:9090\"");
        }
        String framing = table.word("framing", "any", List.of("any", "framed", "unframed"));
        String protocol = table.word("protocol", "any", List.of("any", "binary", "binary-old", "compact"));
        if (framing.equals("any") != protocol.equals("any")) {
            throw table.invalid(
                    framing.equals("any") ? "protocol" : "framing",
                    "framing and protocol are both told from the first bytes, or both fixed");
        }
        MessageFormat form =
                framing.equals("any") ? null : new MessageFormat(framing.equals("framed"), ENCODINGS.get(protocol));
        int port = table.integer("nodo_port", -1, 1, PORT_MOST);
        if (!table.has("nodo_port")) {
            throw table.invalid("nodo_port", "is missing; it is the port where nodos speak Thrift");
        }
        boolean framed = table.bool("nodo_framed", true);
        boolean probes = table.word("probes", "http", List.of("http", "thrift")).equals("thrift");
        Map<String, Method> methods = new LinkedHashMap<>();
        for (TomlTable each : table.tables("methods")) {
            String name = each.text("name", null);
            int kind = config.classes().indexOf(each.word("class", null, config.classes()));
            if (methods.put(name, new Method(kind, each.bool("declares", false))) != null) {
                throw each.invalid("name", "\"" + name + "\" is there twice");
            }
        }
        if (methods.isEmpty()) {
            throw table.invalid("methods", "is missing; a [[thrift.methods]] for each method that is carried");
        }
        return new ThriftSettings(listen, form, port, framed, probes, Map.copyOf(methods));
    }
}
