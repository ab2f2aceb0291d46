package gatefront.thrift;

import gatefront.thrift.codec.MessageFormat;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Settings for Thrift: the listener for clients, the transport to the servers and the supported methods.
 *
 * @param listen address on which clients connect
 * @param format the only message format accepted from clients; null accepts any
 * @param serverPort port on which the servers accept Thrift, on the host given by the server list
 * @param serversFramed whether messages to the servers are framed
 * @param probesOverThrift whether health probes are sent over Thrift instead of HTTP
 * @param methods supported methods by name; a key may be prefixed with the service name and a colon
 */
public record ThriftSettings(
        InetSocketAddress listen,
        MessageFormat format,
        int serverPort,
        boolean serversFramed,
        boolean probesOverThrift,
        Map<String, Method> methods) {
    /**
     * A supported method.
     *
     * @param requestClass index of its request class
     * @param declaresExceptions whether it declares the exceptions Refused and Failed. It must not be set for a method
     *     that does not: a generated client skips an unknown exception and takes a void method as completed
     */
    public record Method(int requestClass, boolean declaresExceptions) {}

    /** Returns the method of this name, with or without a service prefix, or null if there is none. */
    Method method(String name) {
        Method found = methods.get(name);
        return found != null ? found : methods.get(name.substring(name.indexOf(':') + 1));
    }
}
