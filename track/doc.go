// Package track tracks whether any byte of an HTTP request can have left this process, so that clients can report a
// failed request as not sent. An exchange is one request with its response, on one or more connections.
package track
