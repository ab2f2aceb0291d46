package gatefront.http;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.AbstractFrontend;
import gatefront.connection.ChunkCollector;
import gatefront.engine.BodyStream;
import gatefront.engine.ClientPresence;
import gatefront.engine.ClientRequest;
import gatefront.engine.Engine;
import gatefront.engine.Payload;
import gatefront.http.HttpUpstream.OutgoingRequest;
import gatefront.http.HttpUpstream.ServedResponse;
import gatefront.http.codec.StrictHttpDecoders;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Accepts clients' requests over HTTP/1.1 and sends the final responses. Each exchange gets one response; pipelined
 * requests wait for the response before them. Input that is not a valid request gets an error response in its turn, and
 * its connection is closed. Runs on the agent's event loop.
 */
public final class HttpFrontend extends AbstractFrontend {
    /**
     * Input that waits for its turn: a request, an error to respond with, or, with neither, a health check. Bytes are
     * reserved for a head that waits behind other requests.
     */
    private record QueuedRequest(
            ClientRequest request,
            HttpResponseStatus error,
            boolean keepAlive,
            long sentNanos,
            int reservedHeadBytes) {}

    /** What the head of a request takes besides its header fields. */
    private static final int HEAD_OVERHEAD_BYTES = 1 << 10;
    /** What a header field takes besides its characters: its entry, and two strings with their arrays. */
    private static final int FIELD_OVERHEAD_BYTES = 128;
    /** The heads that wait on one connection may take this multiple of the window of a streamed body. */
    private static final int MAX_QUEUED_HEAD_WINDOWS = 4;
    /** Pipelined requests on one connection before reading from it is paused. */
    private static final int MAX_PIPELINED = 4;
    /** Pipelined requests on one connection that are read ahead in search of the client's close. */
    private static final int MAX_READ_AHEAD = 64;
    /** A streamed request body of which nothing arrives for this long is aborted and its connection closed. */
    private static final long UPLOAD_STALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    /** Interval at which that is checked. */
    private static final long UPLOAD_STALL_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Interval at which the receive queue of a streamed body is looked at after a pause of reading. */
    private static final long PROGRESS_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final Transport transport;
    private Config config;
    private final Listener listener;
    private final BooleanSupplier ready;

    /** Creates a frontend that does not listen before {@link #listen()} is called. */
    public HttpFrontend(
            Transport transport,
            Config config,
            int maxConnections,
            BooleanSupplier ready,
            ResourceBudget budget,
            Listener listener) {
        super(transport, config.listen(), maxConnections, budget);
        this.transport = transport;
        this.config = config;
        this.listener = listener;
        this.ready = ready;
    }

    @Override
    protected void initPipeline(DuplexChannel channel) {
        StrictHttpDecoders.Requests decoder = new StrictHttpDecoders.Requests();
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), new ClientConnection(channel, decoder));
    }

    /** Judges requests that begin to arrive from now on by this configuration. */
    public void updateConfig(Config newConfig) {
        config = newConfig;
    }

    /** One request and its response. */
    private final class Exchange implements gatefront.engine.Exchange {
        private final ClientConnection connection;
        private final boolean keepAlive;
        private final int requestBodyBytes;
        private boolean answered;
        /** The response that is being streamed, or null. */
        private BodyStream responseStream;

        private Exchange(ClientConnection connection, boolean keepAlive, int requestBodyBytes) {
            this.connection = connection;
            this.keepAlive = keepAlive;
            this.requestBodyBytes = requestBodyBytes;
        }

        @Override
        public ClientPresence clientPresence() {
            return connection.current == this ? connection.clientPresence() : ClientPresence.LEFT;
        }

        @Override
        public void served(Payload payload) {
            respond(HttpResponseStatus.OK, (ServedResponse) payload, 0);
        }

        @Override
        public void rejected(Payload payload) {
            respond(((HttpUpstream.Rejection) payload).status());
        }

        @Override
        public void refused(long retryAfterMicros) {
            respond(HttpResponseStatus.SERVICE_UNAVAILABLE, null, retryAfterMicros);
        }

        @Override
        public void failed(Failure reason) {
            respond(
                    switch (reason) {
                        case NOT_SERVED -> HttpResponseStatus.BAD_GATEWAY;
                        case TIME_UP -> HttpResponseStatus.GATEWAY_TIMEOUT;
                        case DUPLICATE -> HttpResponseStatus.CONFLICT;
                        case INTERNAL -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
                    });
        }

        private void respond(HttpResponseStatus status, ServedResponse served, long retryAfterMicros) {
            if (answered || connection.current != this) {
                return;
            }
            answered = true;
            if (served != null && served.bodyStream() != null) {
                streamResponse(served);
                return;
            }
            ByteBuf body = served == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(served.body());
            // The values set here were validated when they were received.
            HttpHeaders headers = HttpUpstream.UNVALIDATED_HEADERS.newHeaders();
            var response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (served != null) {
                setContentHeaders(served, headers);
            }
            if (retryAfterMicros > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterMicros / 1e6));
            }
            // Pipelined requests get their responses before the connection is closed.
            boolean closeConnection = closesConnection();
            if (closeConnection) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            connection.afterResponse(this, connection.write(response, body.readableBytes()), closeConnection);
        }

        private boolean closesConnection() {
            return !keepAlive || connection.isUploading() || closesAfterResponse() && !connection.hasPipelinedRequest();
        }

        private void setContentHeaders(ServedResponse served, HttpHeaders headers) {
            if (served.contentType() != null) {
                headers.set(HttpHeaderNames.CONTENT_TYPE, served.contentType());
            }
            if (served.contentEncoding() != null) {
                headers.set(HttpHeaderNames.CONTENT_ENCODING, served.contentEncoding());
            }
        }

        /** Streams a response; if it is aborted, the connection is closed so that the client can tell. */
        private void streamResponse(ServedResponse served) {
            HttpHeaders headers = HttpUpstream.UNVALIDATED_HEADERS.newHeaders();
            if (served.length() < 0) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, served.length());
            }
            setContentHeaders(served, headers);
            boolean closeConnection = closesConnection();
            if (closeConnection) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            BodyStream stream = served.bodyStream();
            responseStream = stream;
            connection.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers), 0);
            connection.beginStreaming();
            stream.attach(new BodyStream.Consumer() {
                @Override
                public void onChunk(ByteBuf chunk) {
                    int bytes = chunk.readableBytes();
                    connection.write(new DefaultHttpContent(chunk), bytes).addListener(done -> {
                        connection.streamProgressed(stream);
                        stream.chunkWritten(bytes);
                    });
                }

                @Override
                public void onComplete() {
                    responseStream = null;
                    // Only once it is written, so that the timeout for writing a last response starts then.
                    connection.write(LastHttpContent.EMPTY_LAST_CONTENT, 0).addListener(done -> {
                        if (connection.current == Exchange.this) { // else the client has disconnected
                            // The agent may have begun to shut down since the head was written.
                            connection.afterResponse(
                                    Exchange.this, (ChannelFuture) done, closeConnection || closesConnection());
                        }
                    });
                }

                @Override
                public void onAbort() {
                    responseStream = null;
                    connection.closeAfterAbort();
                }
            });
        }

        /** Responds with a status and no body. */
        private void respond(HttpResponseStatus status) {
            respond(status, null, 0);
        }
    }

    /** One connection of a client. */
    private final class ClientConnection extends Connection {
        private final StrictHttpDecoders.Requests decoder;
        private final Deque<QueuedRequest> pipelined = new ArrayDeque<>();
        /** Reserved bytes of the heads of {@link #pipelined}. */
        private int pipelinedHeadBytes;
        /** The exchange whose response is due next, or null. */
        private Exchange current;
        /** The request whose body is being received; null for a health check. */
        private ClientRequest incomingRequest;
        /** The configuration in force when the head that is being received began, or null while there is none. */
        private Config incomingConfig;
        /** Whether a head has been received whose body is not complete. */
        private boolean receivesBody;

        private boolean keepAlive;
        /** The part of the body received so far, while it is not streamed. */
        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        /** The body that is being streamed to a server because it is too long to be buffered, or null. */
        private BodyStream upload;

        /** Feeds {@link #upload}, or the body that was uploaded before. */
        private UploadProducer uploadProducer;

        /** A streamed body whose last part has just been read, or null. */
        private BodyStream completedUpload;

        private long uploadedBytes;
        /** When a part of the body last arrived. */
        private long uploadProgressNanos;
        /** Framing of the body that is being received; see {@link StrictHttpDecoders#framing}. */
        private long bodyFraming;

        ClientConnection(DuplexChannel channel, StrictHttpDecoders.Requests decoder) {
            super(channel);
            this.decoder = decoder;
        }

        private ChannelFuture write(Object response, int bytes) {
            return writeResponse(response, bytes);
        }

        /** Where the client is in the middle of the request's own body, what it has sent is not read to the end. */
        private ClientPresence clientPresence() {
            ClientPresence presence = readClientPresence();
            boolean sendsItsBody = upload != null && pipelined.isEmpty();
            return presence == ClientPresence.UNKNOWN && sendsItsBody ? ClientPresence.PRESENT : presence;
        }

        @Override
        protected boolean canReadAhead() {
            return pipelined.size() < MAX_READ_AHEAD;
        }

        @Override
        protected void onReadTimeout() {
            rejectInput(HttpResponseStatus.REQUEST_TIMEOUT);
            processNext();
        }

        @Override
        protected void onRequestDiscarded() {
            rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE);
            processNext();
        }

        @Override
        protected void onClosed() {
            pipelined.clear();
            body = Unpooled.EMPTY_BUFFER;
            Exchange abandoned = current;
            current = null;
            if (abandoned != null) {
                listener.clientLeft(abandoned);
                if (abandoned.responseStream != null) {
                    abandoned.responseStream.cancel();
                }
            }
            if (upload != null) {
                upload.abort();
                upload = null;
            }
            if (completedUpload != null) {
                completedUpload.abort();
                completedUpload = null;
            }
        }

        /** Returns whether a streamed request body is still incomplete, so that the next request cannot be located. */
        private boolean isUploading() {
            return upload != null;
        }

        private void beginStreaming() {
            transitionTo(State.STREAMING_RESPONSE);
        }

        /** Restarts the clock of a streamed response, of which the client has read something. */
        private void streamProgressed(BodyStream stream) {
            if (current != null && current.responseStream == stream) {
                transitionTo(State.STREAMING_RESPONSE);
            }
        }

        private void closeAfterAbort() {
            close("the streamed response was aborted");
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object read) {
            if (ignoresInput) {
                return;
            }
            HttpObject message = (HttpObject) read;
            if (message.decoderResult().isFailure()) {
                rejectInput(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (message instanceof HttpRequest head) {
                receivesBody = true;
                beginRequest(head);
            }
            if (message instanceof LastHttpContent) {
                receivesBody = false;
            }
            if (message instanceof HttpContent content && !ignoresInput) {
                addBody(content.content());
            }
            if (message instanceof LastHttpContent && !ignoresInput && upload != null) {
                uploadProducer.collector.flush();
                uploadProducer.progress.completed(uploadedBytes);
                completedUpload = upload;
                upload = null;
            } else if (message instanceof LastHttpContent && !ignoresInput) {
                ClientRequest complete = incomingRequest == null || !body.isReadable()
                        ? incomingRequest
                        : withBody(incomingRequest, ByteBufUtil.getBytes(body));
                body = Unpooled.EMPTY_BUFFER;
                enqueueComplete(complete);
            }
        }

        /** Processes what was read. Not earlier: that may read from the channel again, which decoders do not allow. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (completedUpload != null) {
                BodyStream complete = completedUpload;
                completedUpload = null;
                complete.complete();
            }
            if (upload != null) {
                uploadProducer.collector.flush();
                uploadProducer.updateProgress();
            }
            if (incomingConfig == null && decoder.isRequestStarted() && !receivesBody) {
                incomingConfig = config;
            }
            processNext();
            if ((state() == State.NEW || state() == State.KEEP_ALIVE) && decoder.isRequestStarted()) {
                transitionTo(State.READING_REQUEST);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            processNext();
        }

        private void beginRequest(HttpRequest head) {
            Config configAtStart = incomingConfig == null ? config : incomingConfig;
            incomingConfig = null;
            keepAlive = HttpUtil.isKeepAlive(head);
            incomingRequest = null;
            bodyFraming = StrictHttpDecoders.framing(head.headers());
            HttpResponseStatus error = HttpRequestParser.framingError(head, bodyFraming);
            if (error == null && !HttpRequestParser.isHealthCheck(head)) {
                incomingRequest = HttpRequestParser.parse(head, configAtStart);
                error = incomingRequest == null ? HttpResponseStatus.BAD_REQUEST : null;
            }
            if (error != null) {
                rejectInput(error);
                return;
            }
            if (bodyFraming > 0 || bodyFraming == StrictHttpDecoders.CHUNKED) {
                body = Unpooled.buffer(
                        bodyFraming > 0 ? (int) Math.min(bodyFraming, 1024) : 256,
                        HttpUpstream.MAX_BUFFERED_BODY_BYTES);
                if (HttpUtil.is100ContinueExpected(head) && current == null && pipelined.isEmpty()) {
                    channel.writeAndFlush(new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
                }
            }
        }

        private void addBody(ByteBuf bytes) {
            int length = bytes.readableBytes();
            if (state() == State.READING_REQUEST && length > 0) {
                transitionTo(State.READING_REQUEST); // a body may arrive slowly as long as it makes progress
            }
            if (upload == null && body.readableBytes() + length > HttpUpstream.MAX_BUFFERED_BODY_BYTES) {
                if (incomingRequest == null) {
                    rejectInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
                beginUpload();
            }
            if (upload != null) {
                uploadedBytes += length;
                uploadProgressNanos = transport.nanos();
                if (uploadedBytes > HttpUpstream.MAX_STREAMED_BODY_BYTES) {
                    abortUpload(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                } else if (!reserve(length)) {
                    abortUpload(HttpResponseStatus.SERVICE_UNAVAILABLE);
                } else {
                    uploadProducer.collector.add(bytes);
                }
            } else if (!reserve(length)) {
                rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else if (length > 0) {
                body.writeBytes(bytes);
            }
        }

        /** Starts streaming the request body: first what has been received, then the rest as it arrives. */
        private void beginUpload() {
            uploadProducer = new UploadProducer();
            BodyStream stream = new BodyStream(uploadProducer, requestWindow());
            ByteBuf received = body;
            body = Unpooled.EMPTY_BUFFER;
            upload = stream;
            uploadedBytes = received.readableBytes();
            stream.write(received);
            uploadProgressNanos = transport.nanos();
            scheduleUploadStallCheck(stream, UPLOAD_STALL_CHECK_NANOS);
            enqueue(new QueuedRequest(withBody(incomingRequest, stream, bodyFraming), null, keepAlive, sentNanos(), 0));
        }

        /** Passes a request body on; while it is not read, it tells how far the client may be. */
        private final class UploadProducer implements BodyStream.Producer {
            private final SendProgress progress = new SendProgress(bodyFraming, sentNanos());
            private final boolean isLocalClient = channel.remoteAddress() instanceof InetSocketAddress client
                    && client.getAddress().isLoopbackAddress();
            private boolean isCheckScheduled;
            private final ChunkCollector collector = new ChunkCollector(this::passOn);

            private void passOn(ByteBuf chunk) {
                BodyStream stream = upload;
                if (stream == null) { // it was cancelled meanwhile
                    release(chunk.readableBytes());
                    chunk.release();
                } else if (!stream.write(chunk)) {
                    progress.paused(transport.nanos());
                    channel.config().setAutoRead(!stream.isPaused());
                }
            }

            @Override
            public void onConsumed(int bytes) {
                release(bytes);
            }

            @Override
            public void onResume() {
                progress.resumed(transport.nanos(), uploadedBytes);
                if (!ignoresInput) {
                    channel.config().setAutoRead(true);
                    scheduleProgressCheck();
                }
            }

            /** The response came before the body was complete: no further request is read, the connection is closed. */
            @Override
            public void onCancel() {
                ignoresInput = true;
                upload = null;
                channel.config().setAutoRead(true);
            }

            @Override
            public long mayBeSentSinceNanos() {
                updateProgress();
                return progress.mayBeSentSinceNanos();
            }

            /** Looks at the receive queue in short intervals for a while after a pause. */
            private void scheduleProgressCheck() {
                if (isCheckScheduled || !isLocalClient || transport.unreadInputBytes(channel) < 0) {
                    return;
                }
                isCheckScheduled = true;
                transport.loop().schedule(this::checkProgress, PROGRESS_CHECK_NANOS, TimeUnit.NANOSECONDS);
            }

            private void checkProgress() {
                isCheckScheduled = false;
                updateProgress();
                boolean isRead = upload != null && uploadProducer == this && !upload.isPaused();
                if (isRead && progress.isAfterPause(transport.nanos())) {
                    scheduleProgressCheck();
                }
            }

            private void updateProgress() {
                if (upload == null || uploadProducer != this) { // it is complete or was cancelled
                    return;
                }
                long nowNanos = transport.nanos();
                int unreadBytes = transport.unreadInputBytes(channel);
                if (isLocalClient && !upload.isPaused()) {
                    progress.observeQueue(nowNanos, uploadedBytes, unreadBytes);
                }
                progress.received(nowNanos, uploadedBytes, unreadBytes, upload.isPaused());
            }
        }

        /** Aborts a streamed request body, of which no server gets the whole, and responds with {@code status}. */
        private void abortUpload(HttpResponseStatus status) {
            BodyStream stream = upload;
            if (isQueued(stream)) { // no server has been chosen for it: its response is the error, in its turn
                pipelined.removeLast();
                upload = null;
                stream.abort();
                rejectInput(status);
                return;
            }
            Exchange exchange = current;
            if (exchange == null || pipelined.stream().anyMatch(queued -> queued.request != null)) {
                // Earlier responses are due first, and the error must not overtake them.
                close("the streamed request is aborted, " + status);
                return;
            }
            exchange.respond(
                    status,
                    null,
                    status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? Engine.RETRY_AFTER_MICROS : 0);
            listener.clientLeft(exchange);
            upload = null;
            stream.abort();
            channel.config().setAutoRead(true); // the rest is read and discarded until the client has read the response
        }

        private boolean isQueued(BodyStream stream) {
            QueuedRequest last = pipelined.peekLast();
            return last != null
                    && last.request != null
                    && last.request.payload().bodyStream() == stream;
        }

        /** Guards against holding open for ever a request body that stops in the middle. */
        private void scheduleUploadStallCheck(BodyStream stream, long delayNanos) {
            transport.loop().schedule(() -> checkUploadStall(stream), delayNanos, TimeUnit.NANOSECONDS);
        }

        private void checkUploadStall(BodyStream stream) {
            if (uploadStallLeftNanos(stream) <= 0) {
                transport.readArrivedInput(channel);
            }
            if (upload != stream) {
                return;
            }
            long leftNanos = uploadStallLeftNanos(stream);
            if (leftNanos <= 0) {
                close("the streamed request has stalled");
            } else {
                scheduleUploadStallCheck(stream, Math.min(leftNanos, UPLOAD_STALL_CHECK_NANOS));
            }
        }

        /** Returns how long a client may go on sending nothing; while reading is paused, it cannot send. */
        private long uploadStallLeftNanos(BodyStream stream) {
            long nowNanos = transport.nanos();
            uploadProgressNanos = stream.isPaused() ? nowNanos : uploadProgressNanos;
            return uploadProgressNanos + UPLOAD_STALL_TIMEOUT_NANOS - nowNanos;
        }

        /**
         * Queues an error response to invalid input and stops reading. Guards against responding out of turn, where the
         * client would take the error for the response to an earlier request, and against reading input that is not
         * used.
         */
        private void rejectInput(HttpResponseStatus error) {
            if (upload != null) {
                abortUpload(error);
                return;
            }
            ignoresInput = true;
            body = Unpooled.EMPTY_BUFFER;
            channel.config().setAutoRead(false);
            enqueue(new QueuedRequest(null, error, false, transport.nanos(), 0));
        }

        /** Returns whether a valid request is pipelined; invalid input may go without a response when closing. */
        private boolean hasPipelinedRequest() {
            return !pipelined.isEmpty() && pipelined.peek().error == null;
        }

        /** Queues a request; if it has to wait for others, and there is no memory for its head, it is refused. */
        private void enqueueComplete(ClientRequest request) {
            boolean waits = current != null || !pipelined.isEmpty();
            int headBytes = waits ? headBytes(request) : 0;
            if (pipelinedHeadBytes + headBytes
                            > MAX_QUEUED_HEAD_WINDOWS * requestWindow().bytes()
                    || waits && !reserve(headBytes)) {
                rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE);
                return;
            }
            pipelinedHeadBytes += headBytes;
            enqueue(new QueuedRequest(request, null, keepAlive, sentNanos(), headBytes));
        }

        private void enqueue(QueuedRequest queued) {
            pipelined.add(queued);
            if (pipelined.size() >= MAX_PIPELINED) {
                channel.config().setAutoRead(false);
            }
        }

        /** Processes the next pipelined request once the response before it is sent and the client reads responses. */
        private void processNext() {
            if (!ignoresInput) {
                channel.config()
                        .setAutoRead(pipelined.size() < MAX_PIPELINED && (upload == null || !upload.isPaused()));
            }
            if (current == null && !pipelined.isEmpty() && channel.isWritable()) {
                QueuedRequest next = pipelined.poll();
                pipelinedHeadBytes -= next.reservedHeadBytes;
                release(next.reservedHeadBytes);
                process(next);
            }
        }

        private void process(QueuedRequest queued) {
            transitionTo(State.AWAITING_RESPONSE);
            ClientRequest request = queued.request;
            Exchange exchange = new Exchange(this, queued.keepAlive, request == null ? 0 : bodyOf(request).length);
            current = exchange;
            try {
                if (queued.error != null) {
                    boolean refused = queued.error.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
                    exchange.respond(queued.error, null, refused ? Engine.RETRY_AFTER_MICROS : 0);
                } else if (request == null) {
                    exchange.respond(
                            ready.getAsBoolean() && !isMarkedNotReady()
                                    ? HttpResponseStatus.OK
                                    : HttpResponseStatus.SERVICE_UNAVAILABLE);
                } else {
                    listener.request(request, queued.sentNanos, exchange);
                }
            } catch (RuntimeException e) {
                // Guards against a fault that would leave the client without a response.
                transport.log("request failed: " + e);
                exchange.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        }

        /**
         * After a response, closes the connection, processes the next pipelined request or keeps the connection idle.
         */
        private void afterResponse(Exchange exchange, ChannelFuture written, boolean closeConnection) {
            current = null;
            release(exchange.requestBodyBytes);
            if (closeConnection) {
                boolean hasUnreadInput = (ignoresInput || upload != null) && decoder.isRequestStarted();
                pipelined.clear();
                closeAfterWrite(written, hasUnreadInput);
            } else {
                transitionTo(decoder.isRequestStarted() ? State.READING_REQUEST : State.KEEP_ALIVE);
                if (!pipelined.isEmpty()) {
                    runAfterNextPoll(this::processNext);
                }
            }
        }
    }

    private static ClientRequest withBody(ClientRequest request, byte[] body) {
        OutgoingRequest head = (OutgoingRequest) request.payload();
        return request.withPayload(new OutgoingRequest(head.method(), head.uri(), head.headers(), body));
    }

    private static ClientRequest withBody(ClientRequest request, BodyStream body, long length) {
        OutgoingRequest head = (OutgoingRequest) request.payload();
        return request.withPayload(new OutgoingRequest(
                head.method(), head.uri(), head.headers(), HttpUpstream.NO_BODY, body, Math.max(-1, length)));
    }

    /** Returns about how much memory the head of a request takes; 0 for a health check. */
    private static int headBytes(ClientRequest request) {
        if (request == null) {
            return 0;
        }
        OutgoingRequest head = (OutgoingRequest) request.payload();
        int bytes = HEAD_OVERHEAD_BYTES + head.uri().length();
        for (Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                        head.headers().iteratorCharSequence();
                headers.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            bytes += FIELD_OVERHEAD_BYTES
                    + header.getKey().length()
                    + header.getValue().length();
        }
        return bytes;
    }

    private static byte[] bodyOf(ClientRequest request) {
        return ((OutgoingRequest) request.payload()).body();
    }

    /** Parses a request as one that begins now; see {@link HttpRequestParser#parse}. */
    public ClientRequest parse(HttpRequest request) {
        return HttpRequestParser.parse(request, config);
    }
}
