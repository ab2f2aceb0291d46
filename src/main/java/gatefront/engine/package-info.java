/**
 * The life cycle of a request, whatever protocol it arrived by: {@link gatefront.engine.Engine} owns the requests in
 * progress and is the one place where events enter the decision module. Frontends hand it
 * {@link gatefront.engine.ClientRequest}s and send the final responses to their clients; upstreams carry attempts and
 * probes to the servers. Everything runs on one event loop.
 */
package gatefront.engine;
