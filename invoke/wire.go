package invoke

import (
	"crypto/sha256"
	"encoding/base64"

	"waxwing.example/croft"
)

// Header names of attempts and their answers.
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

// Values of headers that an executor sets.
const (
	// OutcomeNotRun is the value of HeaderOutcome for an attempt that did not run and will not.
	OutcomeNotRun = "NotRun"
	// LeavingTrue is the value of HeaderLeaving once the executor takes no further work.
	LeavingTrue = "true"
	// ReasonBusy says that no slot was free.
	ReasonBusy = "Busy"
	// ReasonLeaving says that the executor takes no further work.
	ReasonLeaving = "Leaving"
	// ReasonDeadline says that the deadline had passed.
	ReasonDeadline = "Deadline"
	// ReasonBoot says that the attempt was meant for another boot of the executor's VM.
	ReasonBoot = "Boot"
	// ReasonRefused says that the executor did not want the attempt.
	ReasonRefused = "Refused"
)

// PathRun begins the path of attempts; the service and the kind follow.
const PathRun = "/run/"

// Path returns the path for attempts of a class.
func Path(class croft.Class) string { return PathRun + class.String() }

// Digest returns the sha-256 of a body in the form of Content-Digest, RFC 9530.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
