package invoke

import (
	"crypto/sha256"
	"encoding/base64"

	"waxwing.example/croft"
)

// The headers of attempts and of their responses.
const (
	HeaderAttempt  = "Croft-Attempt"
	HeaderDeadline = "Croft-Deadline"
	HeaderBoot     = "Croft-Boot"
	HeaderKey      = "Idempotency-Key"
	HeaderOutcome  = "Croft-Outcome"
	HeaderReason   = "Croft-Reason"
	HeaderLeaving  = "Croft-Leaving"
	HeaderDigest   = "Content-Digest"
)

// The values of response headers.
const (
	// OutcomeNotRun is the value of HeaderOutcome for an attempt that did not run and will not.
	OutcomeNotRun = "NotRun"
	// LeavingTrue is the value of HeaderLeaving once the executor accepts no further work.
	LeavingTrue = "true"
	// ReasonBusy is the value of HeaderReason if the executor had no free slot.
	ReasonBusy = "Busy"
	// ReasonLeaving is the value of HeaderReason if the executor accepts no further work.
	ReasonLeaving = "Leaving"
	// ReasonDeadline is the value of HeaderReason if the deadline had passed.
	ReasonDeadline = "Deadline"
	// ReasonBoot is the value of HeaderReason if the attempt was meant for another boot of the executor's VM.
	ReasonBoot = "Boot"
	// ReasonRefused is the value of HeaderReason if the executor refused the attempt for any other cause.
	ReasonRefused = "Refused"
)

// PathRun is the prefix of the path of attempts; the service and the kind follow.
const PathRun = "/run/"

// Path returns the path of attempts of a class.
func Path(class croft.Class) string { return PathRun + class.String() }

// Digest returns the Content-Digest header (RFC 9530) of a body, with its sha-256.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
