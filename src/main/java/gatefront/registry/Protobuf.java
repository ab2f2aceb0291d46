package gatefront.registry;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Protobuf messages written field by field, without generated classes. */
public final class Protobuf {
    private Protobuf() {}

    /** Writes the fields of a message. */
    public interface Fields {
        /** Writes them. */
        void write(CodedOutputStream out) throws IOException;
    }

    /** The bytes of a message of these fields. */
    public static byte[] message(Fields fields) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            fields.write(out);
            out.flush();
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // an array takes everything
        }
    }
}
