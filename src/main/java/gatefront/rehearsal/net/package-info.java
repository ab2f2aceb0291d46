/**
 * Virtual time and an in-memory network for programs whose {@link gatefront.transport.Transport} is injected. Each
 * process has its own event loop; all loops share one clock and one thread. Channels carry real bytes through the
 * real codecs. {@link gatefront.rehearsal.net.Network} owns the state of all channels.
 */
package gatefront.rehearsal.net;
