package gatefront.ledgerstore;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import gatefront.ledger.LedgerEntry;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Locale;

/** Formats entries as lines of JSON or CSV (RFC 4180). */
public final class EntryFormat {
    /** The header line of CSV output. */
    public static final String CSV_HEADER =
            "id,kind,period,tenant,class,requests," + "worth_millionths,work_us,bytes,corrects,why";

    private static final JsonFactory JSON = new JsonFactory();

    private EntryFormat() {}

    /** Formats an entry as a JSON object. */
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
            throw new IllegalStateException(e); // a StringWriter never fails
        }
        return text.toString();
    }

    /** Formats an entry as a CSV line with the columns of {@link #CSV_HEADER}. */
    public static String csv(LedgerEntry entry) {
        return entry.id() + "," + kindName(entry) + "," + entry.period() + "," + csvQuoted(entry.tenant()) + ","
                + csvQuoted(entry.type()) + "," + entry.amounts().requests() + ","
                + entry.amounts().worth() + ","
                + entry.amounts().work() + "," + entry.amounts().bytes() + ","
                + (entry.corrects() == null ? "" : entry.corrects()) + "," + csvQuoted(entry.why());
    }

    /** Returns a text as a JSON string, including the quotes. */
    public static String quotedJson(String text) {
        return "\"" + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + "\"";
    }

    /** Returns the word for an entry's kind in JSON and CSV. */
    public static String kindName(LedgerEntry entry) {
        return entry.kind().name().toLowerCase(Locale.ROOT);
    }

    private static String csvQuoted(String text) {
        // Spreadsheets evaluate cells that begin with these characters as formulas; a leading quote prevents that.
        String escaped = !text.isEmpty() && "=+-@\t\r".indexOf(text.charAt(0)) >= 0 ? "'" + text : text;
        return escaped.matches("[^\",\r\n]*") ? escaped : "\"" + escaped.replace("\"", "\"\"") + "\"";
    }
}
