/** The immutable configuration of an agent, read from its JSON file. */
package gatefront.config;
