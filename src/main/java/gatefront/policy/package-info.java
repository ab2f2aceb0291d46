/**
 * The load-balancing policy: which server a request is sent to, whether it is retried and which requests are shed.
 *
 * <p>The package is PURE: it receives events and returns actions, and time is an argument. It does no I/O and uses no
 * threads or clocks.
 */
package gatefront.policy;
