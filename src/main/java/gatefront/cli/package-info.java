/**
 * The command line. {@code serve} and {@code drill} start without loading the classes of the other commands or picocli.
 */
package gatefront.cli;
