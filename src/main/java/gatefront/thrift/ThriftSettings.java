package gatefront.thrift;

import gatefront.thrift.codec.MessageFormat;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * How an agent speaks Thrift.
 *
 * @param listen where callers connect
 * @param form the only form that callers' messages may have; null if any is taken
 * @param serverPort where the listed servers speak Thrift, on the host that the list gives
 * @param framedServers whether the servers want frames
 * @param probes whether servers are asked for their health over Thrift, and not over HTTP
 * @param methods by name; behind a service's name and a colon too
 */
public record ThriftSettings(
        InetSocketAddress listen,
        MessageFormat form,
        int serverPort,
        boolean framedServers,
        boolean probes,
        Map<String, Method> methods) {
    /**
     * A method that is carried.
     *
     * @param requestClass index of its class
     * @param declares whether it declares the exceptions Refused and Failed. Harm, if it is said wrongly: a generated
     *     client passes over an exception that it does not know, and takes a void method for done
     */
    public record Method(int requestClass, boolean declares) {}

    /** The method that a name stands for, or null. */
    Method method(String name) {
        Method found = methods.get(name);
        return found != null ? found : methods.get(name.substring(name.indexOf(':') + 1));
    }
}
