// Package settle turns a commit whose answer was lost into a definite outcome wherever the table can tell.
package settle
