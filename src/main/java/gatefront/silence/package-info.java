/**
 * What the silence of a server says about a response that it has begun: whether the server may still go on with it, and
 * how long that is waited for. Pure: times are arguments, and nothing here does I/O or reads a clock.
 */
package gatefront.silence;
