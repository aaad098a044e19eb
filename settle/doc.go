// Package settle resolves the unknown outcome of commits whose answer was lost, as far as the table's rows show it.
package settle
