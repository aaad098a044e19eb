// Package sent determines whether any byte of an HTTP request can have left this process, so that a failed request can
// be reported as not sent. An exchange is one request with its response, on one or more connections.
package sent
