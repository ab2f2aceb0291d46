/**
 * The life of a request, whatever protocol it came by: {@link gatefront.engine.Engine} owns the requests that are
 * held and is the one place where events enter the decision module. Fronts hand it
 * {@link gatefront.engine.ClientRequest}s and give their callers the final answers; upstreams carry attempts and
 * probes to the servers. All of it runs on one event loop.
 */
package gatefront.engine;
