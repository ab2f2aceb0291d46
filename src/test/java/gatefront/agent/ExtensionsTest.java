package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.config.Config;
import gatefront.thrift.ThriftSettings;
import gatefront.thrift.ThriftSettings.Method;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.toml.TomlException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Reading of the extensions file; errors are one line with file, line and key. */
class ExtensionsTest {
    private static final String GOOD =
            """
        [thrift]
        listen = "127.0.0.1:9090"
        nodo_port = 9091
        [[thrift.methods]]
        name = "pagar"
        class = "pay"
        declares = true
        [[thrift.methods]]
        name = "Cuentas:saldo"
        class = "lookup"
        """;

    private static ThriftSettings read(String text) throws TomlException {
        return Extensions.parse("x.toml", text, Config.read(Path.of("src/test/resources/config.json")))
                .thrift();
    }

    private static String errorFor(String from, String to) {
        assertTrue(GOOD.contains(from));
        return assertThrows(TomlException.class, () -> read(GOOD.replace(from, to)))
                .getMessage();
    }

    @Test
    void givenValuesAreReadAndTheRestDefaulted() throws Exception {
        ThriftSettings settings = read(GOOD);
        assertEquals(9090, settings.listen().getPort());
        assertNull(settings.format(), "any message format is accepted");
        assertEquals(9091, settings.serverPort());
        assertTrue(settings.serversFramed());
        assertFalse(settings.probesOverThrift());
        assertEquals(new Method(1, true), settings.methods().get("pagar"));
        assertEquals(new Method(0, false), settings.methods().get("Cuentas:saldo"));
        assertEquals(
                new MessageFormat(false, ThriftEncoding.COMPACT),
                read(GOOD.replace("nodo_port", "framing = \"unframed\"\nprotocol = \"compact\"\nnodo_port"))
                        .format());
        assertNull(read(""), "no Thrift without the table");
    }

    @Test
    void errorsAreOneLineWithFileLineAndKey() {
        assertEquals(
                "x.toml:2: thrift.listen: must be a literal address and a port, as in \"127.0.0.1:9090\"",
                errorFor("127.0.0.1:9090", "localhost"));
        assertTrue(errorFor("nodo_port = 9091", "nodo_prt = 9091").startsWith("x.toml:"));
        assertTrue(errorFor("nodo_port = 9091", "nodo_port = 70000").startsWith("x.toml:3: thrift.nodo_port: "));
        assertTrue(errorFor("nodo_port = 9091\n", "").contains("nodo_port: is missing"));
        String unknownClass = errorFor("class = \"pay\"", "class = \"pai\"");
        assertTrue(
                unknownClass.startsWith("x.toml:6: thrift.methods.0.class: ")
                        && unknownClass.contains("did you mean \"pay\"?"),
                unknownClass);
        assertTrue(errorFor("Cuentas:saldo", "pagar").contains("appears more than once"));
        assertTrue(errorFor("nodo_port", "framing = \"framed\"\nnodo_port").contains("both"));
        assertTrue(errorFor("declares = true", "declare = true").contains("did you mean \"declares\"?"));
        assertTrue(assertThrows(TomlException.class, () -> read("[thrift\n"))
                .getMessage()
                .startsWith("x.toml:1: "));
        assertTrue(assertThrows(TomlException.class, () -> read("[trift]\na = 1\n"))
                .getMessage()
                .contains("did you mean \"thrift\"?"));
    }

    @Test
    void missingFileStopsTheStart() {
        String message = assertThrows(
                        IllegalArgumentException.class,
                        () -> Extensions.read(
                                Path.of("no/such.toml"), Config.read(Path.of("src/test/resources/config.json"))))
                .getMessage();
        assertEquals("no/such.toml: no such file", message);
    }
}
