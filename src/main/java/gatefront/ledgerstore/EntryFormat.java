package gatefront.ledgerstore;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import gatefront.ledger.LedgerEntry;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Locale;

/** Entries on paper, a line each: JSON and CSV (RFC 4180). */
public final class EntryFormat {
    /** The names of the columns. */
    public static final String CSV_HEADER =
            "id,kind,period,tenant,class,requests," + "worth_millionths,work_us,bytes,corrects,why";

    private static final JsonFactory JSON = new JsonFactory();

    private EntryFormat() {}

    /** As an object of JSON. */
    public static String json(LedgerEntry entry) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("id", entry.id().toString());
            out.writeStringField("kind", kindName(entry));
            out.writeNumberField("period", entry.period());
            out.writeStringField("tenant", entry.tenant());
            out.writeStringField("class", entry.type());
            out.writeNumberField("requests", entry.amounts().requests());
            out.writeNumberField("worth_millionths", entry.amounts().worth());
            out.writeNumberField("work_us", entry.amounts().work());
            out.writeNumberField("bytes", entry.amounts().bytes());
            if (entry.corrects() != null) {
                out.writeStringField("corrects", entry.corrects().toString());
                out.writeStringField("why", entry.why());
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a string takes all
        }
        return text.toString();
    }

    /** As a line of {@link #CSV_HEADER}. */
    public static String csv(LedgerEntry entry) {
        return entry.id() + "," + kindName(entry) + "," + entry.period() + "," + csvQuoted(entry.tenant()) + ","
                + csvQuoted(entry.type()) + "," + entry.amounts().requests() + ","
                + entry.amounts().worth() + ","
                + entry.amounts().work() + "," + entry.amounts().bytes() + ","
                + (entry.corrects() == null ? "" : entry.corrects()) + "," + csvQuoted(entry.why());
    }

    /** A string of JSON, with its quotes. */
    public static String quotedJson(String text) {
        return "\"" + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + "\"";
    }

    /** What an entry is called. */
    public static String kindName(LedgerEntry entry) {
        return entry.kind().name().toLowerCase(Locale.ROOT);
    }

    private static String csvQuoted(String text) {
        // A sheet takes a cell that begins so for a formula, and runs it.
        String harmless = !text.isEmpty() && "=+-@\t\r".indexOf(text.charAt(0)) >= 0 ? "'" + text : text;
        return harmless.matches("[^\",\r\n]*") ? harmless : "\"" + harmless.replace("\"", "\"\"") + "\"";
    }
}
