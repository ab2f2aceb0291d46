package gatefront.engine;

/** What a protocol carries from a caller to a server or back; the engine passes it on unseen. */
public interface Payload { }
