// Package route does load balancing: it picks the executor to which an attempt of a request is sent.
package route
