package gatefront.http.codec;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decoders of HTTP/1.1 requests and responses that reject what Netty would repair or ignore, since two parsers that
 * repair differently see different messages in the same bytes.
 */
public final class StrictHttpDecoders {
    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 8192;
    /** Framing of a message with neither a length nor a transfer coding. */
    public static final long NO_LENGTH = -1;
    /** Framing of a chunked body. */
    public static final long CHUNKED = -2;
    /** Framing that is invalid or contradictory. */
    public static final long AMBIGUOUS = -3;

    private StrictHttpDecoders() {}

    private static HttpDecoderConfig strictConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setHeadersFactory(LimitedHeaders.factory(DefaultHttpHeadersFactory.headersFactory()))
                .setTrailersFactory(LimitedHeaders.factory(DefaultHttpHeadersFactory.trailersFactory()))
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true);
    }

    /**
     * Returns the framing of a body: its length in bytes, {@link #CHUNKED}, {@link #NO_LENGTH} or {@link #AMBIGUOUS}.
     */
    public static long framing(HttpHeaders headers) {
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (codings.size() + lengths.size() > 1) {
            return AMBIGUOUS;
        }
        if (!codings.isEmpty()) {
            return codings.get(0).equalsIgnoreCase("chunked") ? CHUNKED : AMBIGUOUS;
        }
        return lengths.isEmpty() ? NO_LENGTH : parseDigits(lengths.get(0), AMBIGUOUS);
    }

    /** Parses a number of 1 to 18 decimal digits; returns {@code fallback} for any other text or null. */
    public static long parseDigits(String text, long fallback) {
        if (text == null || text.isEmpty() || text.length() > 18) {
            return fallback;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return fallback;
            }
        }
        return Long.parseLong(text);
    }

    /** Rejects a length beside a coding: Netty would drop one of them, and the next parser the other. */
    private static void rejectLengthWithCoding() {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    private static boolean endsMessage(List<Object> out) {
        return !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
    }

    /** Decodes the requests of clients. */
    public static final class Requests extends HttpRequestDecoder {
        private boolean atStart = true;

        /** Creates a decoder that is strict on heads and bodies. */
        public Requests() {
            super(strictConfig());
        }

        /** Returns whether a request has been received in part. */
        public boolean isRequestStarted() {
            return !atStart;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (atStart && in.isReadable()) {
                byte first = in.getByte(in.readerIndex());
                // Guards against stray bytes before a request: Netty would skip control characters for ever.
                if (first != '\r' && first != '\n' && (first < 'A' || first > 'Z')) {
                    in.skipBytes(in.readableBytes());
                    HttpMessage invalid = createInvalidMessage();
                    invalid.setDecoderResult(
                            DecoderResult.failure(new IllegalArgumentException("malformed request line")));
                    out.add(invalid);
                    return;
                }
                atStart = false;
            }
            super.decode(ctx, in, out);
            atStart |= endsMessage(out);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            rejectLengthWithCoding();
        }
    }

    /** Decodes the responses of servers and of discovery. */
    public static final class Responses extends HttpResponseDecoder {
        private boolean atStart = true;
        private boolean headRead;
        private boolean bodyMayEndWithConnection;

        /** Creates a decoder that is strict on heads and bodies. */
        public Responses() {
            super(strictConfig());
        }

        /** Returns whether bytes have been received that belong to no message yet. */
        public boolean hasLeftover() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (atStart && in.isReadable()) {
                if (in.getByte(in.readerIndex()) != 'H') { // Guards against stray bytes before a response.
                    in.skipBytes(in.readableBytes());
                    ctx.close();
                    return;
                }
                atStart = false;
            }
            super.decode(ctx, in, out);
            atStart |= endsMessage(out);
        }

        @Override
        protected HttpMessage createMessage(String[] line) {
            if (!line[0].equals("HTTP/1.1") && !line[0].equals("HTTP/1.0")
                    || line[1].length() != 3
                    || parseDigits(line[1], 0) < 100) {
                throw new IllegalArgumentException("malformed status line"); // Netty would take "+200" for 200
            }
            headRead = false;
            bodyMayEndWithConnection = line[1].equals("200");
            return super.createMessage(line);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            rejectLengthWithCoding();
        }

        /**
         * Makes Netty read heads as strictly as those of requests; otherwise a line without a colon counts as a header.
         * A body without a length ends with the connection if the status is 200; with any other status there is none.
         */
        @Override
        protected boolean isDecodingRequest() {
            return !headRead || !bodyMayEndWithConnection;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            headRead = true; // called once, when the head has been read
            return super.isContentAlwaysEmpty(message);
        }

        @Override
        protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
            return false; // no protocol upgrade was requested; the reader of a 101 response rejects it
        }
    }
}
