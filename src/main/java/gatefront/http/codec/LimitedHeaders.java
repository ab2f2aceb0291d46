package gatefront.http.codec;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The header fields of a received message, or the trailer fields behind it, up to {@link #MAX_FIELDS}. Guards against
 * short fields that fill the memory: each takes some twenty times the bytes that it is sent in.
 */
final class LimitedHeaders extends DefaultHttpHeaders {
    /** The limit that common HTTP servers have. */
    static final int MAX_FIELDS = 100;

    private LimitedHeaders(DefaultHttpHeadersFactory rules) {
        super(rules.getNameValidator(), rules.getValueValidator());
    }

    /** Returns a factory of headers whose names and values are validated by the given rules. */
    static HttpHeadersFactory factory(DefaultHttpHeadersFactory rules) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new LimitedHeaders(rules);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return rules.newEmptyHeaders();
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (size() >= MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        return super.add(name, value);
    }
}
