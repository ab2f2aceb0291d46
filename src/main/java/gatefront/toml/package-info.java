/** TOML files whose every key is meant: what is wrong in one is a line with file, line, key and what was meant. */
package gatefront.toml;
