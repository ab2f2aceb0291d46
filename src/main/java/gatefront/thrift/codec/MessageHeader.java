package gatefront.thrift.codec;

/**
 * The header of a message.
 *
 * @param name the method name, prefixed with the service name and a colon if multiplexed (TMultiplexedProtocol)
 * @param type the message type
 * @param seqid the sequence id assigned by the client, which the reply repeats
 */
public record MessageHeader(String name, Type type, int seqid) {
    /** Message types in the order of their numbers on the wire, which begin with 1. */
    public enum Type {
        CALL,
        REPLY,
        EXCEPTION,
        ONEWAY;

        int number() {
            return ordinal() + 1;
        }

        static Type of(int number) throws MalformedMessageException {
            if (number < 1 || number > values().length) {
                throw new MalformedMessageException("unknown message type " + number);
            }
            return values()[number - 1];
        }
    }
}
