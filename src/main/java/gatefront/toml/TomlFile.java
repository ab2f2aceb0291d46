package gatefront.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads TOML files. */
public final class TomlFile {
    private static final long MAX_BYTES = 1 << 20;

    private TomlFile() {}

    /**
     * Reads a file as text.
     *
     * @param path the file
     * @param hint text appended to the message if there is no such file
     * @return the content
     * @throws TomlException if the file cannot be read, is larger than 1 MiB or is not UTF-8
     */
    public static String read(Path path, String hint) throws TomlException {
        try {
            if (Files.exists(path) && Files.size(path) > MAX_BYTES) {
                throw new TomlException(path + ":1: is larger than the limit of 1 MiB");
            }
            return Files.readString(path);
        } catch (NoSuchFileException e) {
            throw new TomlException(path + ": no such file" + hint);
        } catch (MalformedInputException e) {
            throw new TomlException(path + ":1: is not valid UTF-8");
        } catch (IOException e) {
            throw new TomlException(path + ": cannot be read: " + e.getMessage());
        }
    }

    /**
     * Parses TOML.
     *
     * @param file name of the file, for messages
     * @param text the content
     * @return the root table
     * @throws TomlException if the content is not valid TOML
     */
    public static TomlTable parse(String file, String text) throws TomlException {
        try {
            return new TomlTable(file, new KeyLineIndex(text.lines().toList()), "", new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            throw new TomlException(file + ":" + line + ": is not TOML: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }
}
