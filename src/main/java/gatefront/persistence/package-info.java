/**
 * What an agent keeps over its death, on {@link gatefront.storage}: calls by hand, the last list, marks of being alive.
 * A thread of its own writes; what may be believed of it at a start is judged by {@link gatefront.recovery}.
 */
package gatefront.persistence;
