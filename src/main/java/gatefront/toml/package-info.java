/** Strict reading of TOML files: unknown keys are errors, and each error names file, line, key and what is expected. */
package gatefront.toml;
