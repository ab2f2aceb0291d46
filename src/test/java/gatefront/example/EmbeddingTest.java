package gatefront.example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class EmbeddingTest {
    @Test
    void theExampleSendsItsRequestToTheServerOfItsZone() {
        Embedding host = new Embedding();
        Embedding.run(host);
        assertEquals(
                "send 1 to 7",
                host.did.stream().filter(d -> d.startsWith("send")).findFirst().orElse(""));
        assertTrue(host.did.stream().noneMatch(d -> d.startsWith("refuse") || d.startsWith("fail")));
    }

    @Test
    void theReadmeShowsTheExampleAsCompiled() throws IOException {
        String source = Files.readString(Path.of("src/test/java/gatefront/example/Embedding.java"));
        String block = source.substring(
                        source.indexOf("    // README begins\n") + 21, source.indexOf("    // README ends"))
                .replaceAll("(?m)^ {4}", "");
        String readme = Files.readString(Path.of("README.md"));
        assertTrue(readme.contains("```java\n" + block + "```"), block);
    }
}
