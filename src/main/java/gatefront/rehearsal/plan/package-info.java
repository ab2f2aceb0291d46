/** Plan files of rehearsals, in TOML. A plan is read and validated as a whole before anything starts. */
package gatefront.rehearsal.plan;
