/**
 * Decides which state an agent may use after a start or a stall. State that is restored is validated by its source, its
 * age and the instance that wrote it, and is trusted, kept as unconfirmed or discarded. Also tracks the stage that the
 * recovery has reached and the reason. The code is free of I/O: events and times are passed in, results and log lines
 * are returned. It is confined to the agent's event loop.
 */
package gatefront.recovery;
