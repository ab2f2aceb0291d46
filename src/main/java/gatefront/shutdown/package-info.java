/**
 * What an agent that was told to end may still do, and until when. Pure: times are arguments, and nothing here does I/O
 * or reads a clock.
 */
package gatefront.shutdown;
