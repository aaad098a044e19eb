// Package leader decides which entry leads, by one row of the platform's table that the leader renews.
package leader
