/*
 * What callers, agents and nodos agree on over Thrift, beside the methods of each service.
 *
 * Every method that an agent carries has Metadata as its argument 1, and declares Refused and Failed with these ids:
 *
 *   Recibo pagarRecibo(1: Metadata metadata, 2: Pago pago)
 *       throws (1: SaldoInsuficiente saldo, 100: Refused refused, 101: Failed failed)
 *
 * The arguments go on to the nodo byte for byte, but for Metadata.timeoutMs, which is what is left of the time. An
 * agent carries the protocol (binary or compact) that the caller uses; it translates nothing.
 */
namespace java gatefront.idl
namespace py gatefront

/** What a caller says of its call. Fields with other ids are passed on and not read. */
struct Metadata {
    /** Letters, digits, - _ . and :, 1 to 128. One of a name is held at a time, over all protocols. */
    1: required string requestId,
    /** The caller's time in milliseconds from now, 1 to 3,600,000. */
    2: required i64 timeoutMs,
    /** The municipio, where the installation has them. */
    3: optional string tenant,
    /** Calls of one key go to the same nodo, where that is wanted. */
    4: optional string affinityKey,
    /** What the call costs, in microseconds of a nodo's core; 0 or absent if not known. */
    5: optional i64 workHint,
    /** Whether the caller has asked this before. */
    6: optional bool clientRetry,
    /** Required for methods of a keyed class, and not permitted for others: nodos drop the repeats of a key. */
    7: optional string idempotencyKey,
}

/** Nothing ran, and asking again is harmless. From a nodo: it is full or ends, and the agent tries another. */
exception Refused {
    1: optional string reason,
    /** When to ask again, in milliseconds from now. */
    2: optional i64 retryAfterMs,
}

/** It has failed, and nothing is promised about its effect. */
exception Failed {
    1: optional string reason,
}

struct Health {
    1: required bool ready,
    /** The load report, as in the HTTP header Server-Load: "inflight=3,queue=0". */
    2: optional string load,
}

/*
 * A nodo may tell its load with any reply: the field 32000 of the result struct, a string as in Health.load. Readers
 * that do not know it pass over it.
 *
 * Of the TApplicationExceptions of a nodo, UNKNOWN_METHOD, INVALID_MESSAGE_TYPE, PROTOCOL_ERROR, INVALID_TRANSFORM,
 * INVALID_PROTOCOL and UNSUPPORTED_CLIENT_TYPE go to the caller, and the call is sent nowhere else. All others count as
 * Failed. None proves that nothing ran: a handler that calls other services may pass on theirs.
 *
 * A oneway call is sent at most once and is over when its last byte has left; nobody learns what became of it. Use it
 * for what may get lost.
 */
service Gatefront {
    /** Asked by agents of nodos, and by anybody of agents. It has no Metadata. */
    Health gatefrontHealth(),
}
