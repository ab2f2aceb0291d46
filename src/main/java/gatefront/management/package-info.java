/** The management endpoint for operators: its requests and statistics. Runs on the agent's event loop. */
package gatefront.management;
