package gatefront.thrift.codec;

/**
 * The head of a message.
 *
 * @param name the method's; behind a service's name and a colon where the client multiplexes (TMultiplexedProtocol)
 * @param type what the message is
 * @param seqid the client's number for the call, which the reply repeats
 */
public record MessageHeader(String name, Type type, int seqid) {
    /** What a message is, in the order of the protocols' numbers, which begin with 1. */
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
                throw new MalformedMessageException("message type " + number);
            }
            return values()[number - 1];
        }
    }
}
