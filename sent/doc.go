// Package sent tells for an HTTP exchange whether any byte of its request can have left this process.
package sent
