/**
 * Strict decoders of HTTP/1.1 requests and responses.
 */
package gatefront.http.codec;
