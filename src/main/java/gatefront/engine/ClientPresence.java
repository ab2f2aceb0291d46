package gatefront.engine;

/** Whether the client of a request is still there, as far as its connection tells. */
public enum ClientPresence {
    /** All that has arrived on the connection has been read, and the client has not closed it. */
    PRESENT,
    /** The client has closed the connection. */
    LEFT,
    /** The client has sent more than may be read ahead; a close may lie behind that. */
    UNKNOWN
}
