// Package route does load balancing: it picks the executor that an attempt of a request is sent to.
package route
