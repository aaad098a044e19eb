package plat

import "fmt"

// RejectedError tells that the platform understood a request, did nothing and will not do it.
type RejectedError struct {
	// Status is the HTTP status of the refusal.
	Status int
	Reason string
}

// Error gives the status and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform: rejected with status %d: %s", e.Status, e.Reason)
}
