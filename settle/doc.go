// Package settle resolves the unknown outcome of commits whose answer was lost, wherever the table's rows show it.
package settle
