package plat

import "fmt"

// RejectedError is returned if the platform rejected a request with a 4xx status and did nothing.
type RejectedError struct {
	// Status is the HTTP status of the response.
	Status int
	// Reason is the detail of the response's Problem, or the text of the status.
	Reason string
}

// Error returns the status and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform: rejected with status %d: %s", e.Status, e.Reason)
}
