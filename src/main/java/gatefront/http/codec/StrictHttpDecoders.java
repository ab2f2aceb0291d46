package gatefront.http.codec;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
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
 * HTTP/1.1 as the agent reads it from either side: what the library would mend or overlook is an unreadable
 * message here, since two readers that mend differently see different messages in the same bytes.
 */
public final class StrictHttpDecoders {
    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 8192;
    /** How a body ends, where no length tells it. */
    public static final long NO_LENGTH = -1;

    public static final long CHUNKED = -2;
    public static final long AMBIGUOUS = -3;

    private StrictHttpDecoders() {}

    private static HttpDecoderConfig strictConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true);
    }

    /** How a message's body ends: its length, {@link #CHUNKED}, {@link #NO_LENGTH} or {@link #AMBIGUOUS}. */
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

    /** A whole number written in digits alone, or the other value. */
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

    /** Guards against a length beside a coding: the library would drop one, and the next reader the other. */
    private static void rejectLengthWithCoding() {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    private static boolean endsMessage(List<Object> out) {
        return !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
    }

    /** What the application sends. */
    public static final class Requests extends HttpRequestDecoder {
        private boolean atStart = true;

        /** Strict on both heads and bodies. */
        public Requests() {
            super(strictConfig());
        }

        /** Whether a request has begun to come. */
        public boolean isRequestStarted() {
            return !atStart;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (atStart && in.isReadable()) {
                byte first = in.getByte(in.readerIndex());
                // Guards against noise before a request: the library passes over control characters for ever.
                if (first != '\r' && first != '\n' && (first < 'A' || first > 'Z')) {
                    in.skipBytes(in.readableBytes());
                    HttpMessage noise = createInvalidMessage();
                    noise.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("no request line")));
                    out.add(noise);
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

    /** What servers and discovery send. */
    public static final class Responses extends HttpResponseDecoder {
        private boolean atStart = true;
        private boolean headRead;
        private boolean bodyMayEndWithConnection;

        /** Strict on both heads and bodies. */
        public Responses() {
            super(strictConfig());
        }

        /** Whether bytes have come that belong to no message yet. */
        public boolean hasLeftover() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (atStart && in.isReadable()) {
                if (in.getByte(in.readerIndex()) != 'H') { // Guards against noise before an answer.
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
                throw new IllegalArgumentException("status line"); // the library would take "+200" for 200
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
         * Reads heads as strictly as those of requests: else a line without a colon counts as a header. A body without
         * a length ends with the connection where something is served; with any other status it has none.
         */
        @Override
        protected boolean isDecodingRequest() {
            return !headRead || !bodyMayEndWithConnection;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            headRead = true; // this is asked once, when the head has been read
            return super.isContentAlwaysEmpty(message);
        }

        @Override
        protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
            return false; // nobody asked for another protocol; what takes a 101 refuses it
        }
    }
}
