/**
 * Accounts for what an agent holds, by purpose: the present amount, the peak and the number of rejections. The code is
 * free of I/O, and times are passed in. Each account is updated by its owner, on the agent's event loop.
 */
package gatefront.budget;
