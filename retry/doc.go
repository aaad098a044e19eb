// Package retry decides whether a request gets another attempt after a failed one.
package retry
