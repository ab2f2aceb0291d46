package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.config.Config;
import gatefront.registry.RegistrySettings;
import gatefront.toml.TomlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading of the table [registry]; errors are one line with file, line, key and the expected value. */
class RegistrySettingsReaderTest {
    private static final String GOOD =
            """
        [registry]
        kind = "etcd"
        endpoints = ["127.0.0.1:2379"]
        prefix = "oaxaca/"
        """;

    @TempDir
    private Path folder;

    private static RegistrySettings read(String text) throws TomlException {
        return Extensions.parse("x.toml", text, Config.read(Path.of("src/test/resources/config.json")))
                .registry();
    }

    private static void assertError(String why, String text) {
        String message = assertThrows(TomlException.class, () -> read(text)).getMessage();
        assertTrue(message.startsWith("x.toml:") && message.lines().count() == 1 && message.contains(why), message);
    }

    @Test
    void givenValuesAreReadAndTheRestDefaulted() throws Exception {
        RegistrySettings settings = read(GOOD);
        assertEquals(RegistrySettings.Kind.ETCD, settings.kind());
        assertFalse(settings.replacesPadron());
        assertEquals(2_000_000, settings.limits().progressIntervalMicros());
        assertEquals(30_000_000, settings.limits().staleAfterMicros());
        assertNull(settings.user());
        assertNull(read(""), "no registry without the table");
        RegistrySettings consul =
                read(GOOD.replace("etcd", "consul") + "padron = \"instead\"\nreads = \"consistent\"\n");
        assertTrue(consul.replacesPadron());
        assertEquals(0, consul.limits().progressIntervalMicros(), "Consul ends its blocking reads itself");
    }

    @Test
    void secretsAreReadFromTheirOwnFiles() throws IOException, TomlException {
        Path secret = Files.writeString(folder.resolve("secret"), "clave\n");
        RegistrySettings settings = read(GOOD + "user = \"agente\"\npassword_file = \"" + secret + "\"\n");
        assertEquals("clave", settings.password());
        Files.writeString(secret, "two words");
        assertError("must hold one word", GOOD + "user = \"agente\"\npassword_file = \"" + secret + "\"\n");
        String missing = assertThrows(
                        TomlException.class,
                        () -> read(GOOD + "user = \"agente\"\npassword_file = \"" + folder.resolve("none") + "\"\n"))
                .getMessage();
        assertTrue(missing.contains("no such file (password_file of the registry)"), missing);
    }

    @Test
    void errorsAreOneLine() {
        assertError(
                "x.toml:2: registry.kind: \"etcdd\" is none of etcd, consul; did you mean \"etcd\"?",
                GOOD.replace("etcd", "etcdd"));
        assertError(
                "x.toml:3: registry.endpoints: \"localhost:1\" must be a literal address",
                GOOD.replace("127.0.0.1:2379", "localhost:1"));
        assertError("registry.endpoints: is missing", GOOD.replace("endpoints = [\"127.0.0.1:2379\"]", ""));
        assertError(
                "x.toml:4: registry.prefix: must be words that each end with a slash",
                GOOD.replace("oaxaca/", "oaxaca"));
        assertError("x.toml:5: registry.token_file: does not apply to etcd", GOOD + "token_file = \"x\"");
        assertError("registry.password_file: is missing", GOOD + "user = \"x\"");
        assertError("x.toml:5: registry.silence_s: must be at least twice ask_s", GOOD + "silence_s = 3");
        assertError("registry.stale_s: must be at least silence_s", GOOD + "stale_s = 5");
        assertError("x.toml:5: registry.reads: \"consistent\" is for Consul only", GOOD + "reads = \"consistent\"");
        assertError(
                "x.toml:5: registry.state_file: its folder /no/such does not exist",
                GOOD + "state_file = \"/no/such/file\"");
        assertError("x.toml:5: registry.keyz: unknown key; did you mean \"keys\"?", GOOD + "keyz = 3");
    }
}
