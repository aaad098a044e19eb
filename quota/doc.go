// Package quota keeps what the organisations may have running and decides whether the cap of one allows a start.
package quota
