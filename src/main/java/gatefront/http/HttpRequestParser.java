package gatefront.http;

import gatefront.config.Config;
import gatefront.engine.ClientRequest;
import gatefront.engine.SettingsSnapshot;
import gatefront.http.HttpUpstream.OutgoingRequest;
import gatefront.http.codec.StrictHttpDecoders;
import gatefront.policy.Balancer;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;

/** Parses the heads of clients' requests, and rejects those that do not follow the protocol. */
final class HttpRequestParser {
    /** Headers that are hop-by-hop, or that the agent sets itself; not forwarded to servers. */
    private static final AsciiString[] UNFORWARDED_HEADERS = {
        HttpHeaderNames.CONNECTION,
        AsciiString.cached("Keep-Alive"),
        AsciiString.cached("Proxy-Connection"),
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.EXPECT,
        HttpHeaderNames.CONTENT_LENGTH
    };

    private static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");
    private static final AsciiString REQUEST_CLASS = AsciiString.cached("Request-Class");
    private static final AsciiString TENANT = AsciiString.cached("Tenant");
    private static final AsciiString AFFINITY_KEY = AsciiString.cached("Affinity-Key");
    private static final AsciiString CLIENT_RETRY = AsciiString.cached("Client-Retry");
    private static final AsciiString WORK_HINT = AsciiString.cached("Work-Hint");
    private static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    /** Headers that a request may carry at most once: of two values, a server might use the other one. */
    private static final AsciiString[] SINGLE_VALUE_HEADERS = {
        HttpHeaderNames.HOST,
        REQUEST_ID,
        REQUEST_CLASS,
        TENANT,
        AFFINITY_KEY,
        HttpUpstream.REQUEST_TIMEOUT,
        CLIENT_RETRY,
        WORK_HINT,
        AsciiString.cached("Request-Info"),
        IDEMPOTENCY_KEY
    };

    private static final long MAX_TIMEOUT_MS = 3_600_000;

    private HttpRequestParser() {}

    /** Returns whether a request asks for the health of the agent itself. */
    static boolean isHealthCheck(HttpRequest head) {
        return head.uri().equals("/healthz")
                && head.method().equals(HttpMethod.GET)
                && !head.headers().contains(REQUEST_ID);
    }

    /** Returns the error if the end of the message cannot be determined or its body is not accepted, else null. */
    static HttpResponseStatus framingError(HttpRequest head, long length) {
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
        }
        if (length == StrictHttpDecoders.AMBIGUOUS) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        if (length > HttpUpstream.MAX_STREAMED_BODY_BYTES) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        String expected = head.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !expected.equalsIgnoreCase("100-continue")) {
            return HttpResponseStatus.EXPECTATION_FAILED;
        }
        boolean bodiless = length == 0 || length == StrictHttpDecoders.NO_LENGTH;
        if (head.method().equals(HttpMethod.GET)) {
            return bodiless ? null : HttpResponseStatus.BAD_REQUEST;
        }
        return length == StrictHttpDecoders.NO_LENGTH ? HttpResponseStatus.LENGTH_REQUIRED : null;
    }

    /**
     * Parses a request; returns null if it does not follow the protocol. Guards against forwarding what a server would
     * reject, or would respond to by closing a connection that other requests wait for.
     *
     * @param request the head of the request
     * @param config the configuration that was in force when the head began
     */
    static ClientRequest parse(HttpRequest request, Config config) {
        HttpHeaders headers = request.headers();
        String uri = request.uri();
        if (!isVisibleAscii(uri, '!') || !uri.startsWith("/")) {
            return null;
        }
        HttpHeaders forwarded = copyForwarded(headers);
        if (forwarded == null) {
            return null;
        }
        String className = headers.get(REQUEST_CLASS, "");
        int requestClass = config.classIndex(className);
        long timeoutMs = StrictHttpDecoders.parseDigits(headers.get(HttpUpstream.REQUEST_TIMEOUT), 0);
        long workHint = StrictHttpDecoders.parseDigits(headers.get(WORK_HINT, "0"), -1);
        String id = headers.get(REQUEST_ID, "");
        int tenant = config.tenants().indexOf(headers.get(TENANT, ""));
        if (requestClass < 0
                || !className.equals(firstPathSegment(uri))
                || timeoutMs < 1
                || timeoutMs > MAX_TIMEOUT_MS
                || workHint < 0
                || !ClientRequest.isValidId(id)
                || headers.get(HttpHeaderNames.HOST, "").isEmpty()
                || tenant < 0 && !config.tenants().isEmpty()) {
            return null;
        }
        Balancer.Semantics semantics =
                config.settings().classes().get(requestClass).semantics();
        HttpMethod method = semantics == Balancer.Semantics.SAFE ? HttpMethod.GET : HttpMethod.POST;
        String idempotencyKey = headers.get(IDEMPOTENCY_KEY);
        // Guards against running a request twice: without a key no server could recognize the repetition.
        boolean keyed = semantics == Balancer.Semantics.KEYED;
        if (!request.method().equals(method)
                || (keyed
                        ? idempotencyKey == null || !ClientRequest.isValidId(idempotencyKey)
                        : idempotencyKey != null)) {
            return null;
        }
        for (String option : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
            for (String name : option.split(",")) {
                if (indexOf(SINGLE_VALUE_HEADERS, name.trim()) < 0) {
                    forwarded.remove(name.trim());
                }
            }
        }
        String affinityKey = headers.get(AFFINITY_KEY, "");
        return new ClientRequest(
                new SettingsSnapshot(config.settings(), config.classes(), config.tenants()),
                id,
                requestClass,
                Math.max(0, tenant),
                affinityKey.isEmpty() ? 0 : Config.id(affinityKey),
                workHint,
                timeoutMs,
                "1".equals(headers.get(CLIENT_RETRY)),
                new OutgoingRequest(request.method(), uri, forwarded, HttpUpstream.NO_BODY));
    }

    /** Returns the headers to forward, or null if one of them is invalid or repeated. */
    private static HttpHeaders copyForwarded(HttpHeaders headers) {
        HttpHeaders forwarded = HttpUpstream.UNVALIDATED_HEADERS.newHeaders();
        int seenSingleHeaders = 0;
        for (Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
                entries.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> header = entries.next();
            int singleIndex = indexOf(SINGLE_VALUE_HEADERS, header.getKey());
            if (!isVisibleAscii(header.getValue(), ' ')
                    || singleIndex >= 0 && (seenSingleHeaders & 1 << singleIndex) != 0) {
                return null;
            }
            seenSingleHeaders |= singleIndex < 0 ? 0 : 1 << singleIndex;
            if (singleIndex >= 0 || indexOf(UNFORWARDED_HEADERS, header.getKey()) < 0) {
                forwarded.add(header.getKey(), header.getValue());
            }
        }
        return forwarded;
    }

    /** Returns the part of a path between its first slash and the next slash or question mark. */
    private static String firstPathSegment(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.substring(1, end);
    }

    private static int indexOf(AsciiString[] names, CharSequence name) {
        for (int i = 0; i < names.length; i++) {
            if (names[i].length() == name.length() && names[i].contentEqualsIgnoreCase(name)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns whether a text has only visible ASCII characters from {@code lowest} on, and tabs. */
    private static boolean isVisibleAscii(CharSequence text, char lowest) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < lowest || c > '~') && c != '\t') {
                return false;
            }
        }
        return true;
    }
}
