package gatefront.registry;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes Protobuf messages field by field, without generated classes. */
public final class Protobuf {
    private Protobuf() {}

    /** Writes the fields of a message. */
    public interface Fields {
        /** Writes the fields to a stream. */
        void write(CodedOutputStream out) throws IOException;
    }

    /** Returns the encoded message with the given fields. */
    public static byte[] message(Fields fields) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            fields.write(out);
            out.flush();
            return bytes.toByteArray();
        } catch (IOException e) {
            // Cannot happen: the output is an array in memory.
            throw new UncheckedIOException(e);
        }
    }
}
