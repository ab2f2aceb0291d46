/** What the sources of the server list report, and the overrides and manual drains applied to it; free of I/O. */
package gatefront.membership;
