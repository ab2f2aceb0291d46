/**
 * What an agent may believe at its start and after it has stood still: from where a piece of state comes, how old it
 * is, whose it is, and by which rule it is believed, doubted or dropped; in which stage of coming back the agent is,
 * and why. Pure: events and times come in, verdicts and lines go out; owned by the agent's loop.
 */
package gatefront.recovery;
