// Package retry decides whether a request gets another attempt.
package retry
