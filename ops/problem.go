package ops

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v5"
)

// ProblemType is the type of a problem in a problem+json body.
type ProblemType string

// The problem types of the operators' API.
const (
	ProblemDenied      ProblemType = "urn:waxwingcroft:denied"
	ProblemInvalid     ProblemType = "urn:waxwingcroft:invalid"
	ProblemRace        ProblemType = "urn:waxwingcroft:race"
	ProblemRefused     ProblemType = "urn:waxwingcroft:refused"
	ProblemUnavailable ProblemType = "urn:waxwingcroft:unavailable"
	ProblemUnknown     ProblemType = "urn:waxwingcroft:unknown"
	ProblemOther       ProblemType = "about:blank"
)

// Problem is a problem+json body as RFC 9457 defines it; its extension members are in Pascal case.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Problems is set for an InvalidError.
	Problems []string `json:",omitempty"`
	// Reviewed, InForce and Winner are set for a RaceError.
	Reviewed uint64 `json:",omitempty"`
	InForce  uint64 `json:",omitempty"`
	Winner   string `json:",omitempty"`
}

// toProblem converts an error of this package or of echo to the problem that is sent to the operator.
func toProblem(err error) Problem {
	var (
		denied      *DeniedError
		invalid     *InvalidError
		race        *RaceError
		refused     *RefusedError
		unavailable *UnavailableError
		unknown     *UnknownError
	)
	switch {
	case errors.As(err, &denied):
		return Problem{Type: ProblemDenied, Status: http.StatusUnauthorized, Detail: denied.Error()}
	case errors.As(err, &invalid):
		return Problem{Type: ProblemInvalid, Status: http.StatusBadRequest, Detail: invalid.Error(), Problems: invalid.Problems}
	case errors.As(err, &race):
		return Problem{
			Type: ProblemRace, Status: http.StatusPreconditionFailed, Detail: race.Error(),
			Reviewed: race.Reviewed, InForce: race.InForce, Winner: race.Winner,
		}
	case errors.As(err, &refused):
		return Problem{Type: ProblemRefused, Status: http.StatusConflict, Detail: refused.Reason}
	case errors.As(err, &unavailable):
		return Problem{Type: ProblemUnavailable, Status: http.StatusServiceUnavailable, Detail: unavailable.Reason}
	case errors.As(err, &unknown):
		return Problem{Type: ProblemUnknown, Status: http.StatusGatewayTimeout, Detail: unknown.Reason}
	}
	if status := echo.StatusCode(err); status != 0 {
		return Problem{Type: ProblemOther, Status: status}
	}
	// After an unexpected error it is not known whether the command was executed.
	return Problem{Type: ProblemUnknown, Status: http.StatusInternalServerError, Detail: err.Error()}
}

// writeProblem sends an error as a problem+json body, unless the response has been started.
func writeProblem(c *echo.Context, err error) {
	if r, _ := echo.UnwrapResponse(c.Response()); r != nil && r.Committed {
		return
	}
	p := toProblem(err)
	p.Title = http.StatusText(p.Status)
	body, err := json.Marshal(p)
	if err != nil {
		c.Logger().Error("problem", "error", err)
		return
	}
	if err := c.Blob(p.Status, echo.MIMEApplicationProblemJSON, body); err != nil {
		c.Logger().Error("problem", "error", err)
	}
}

// toError converts a problem to the error of this package that it was made from; one of an unknown type becomes a
// RefusedError.
func toError(p Problem) error {
	switch p.Type {
	case ProblemDenied:
		return &DeniedError{}
	case ProblemInvalid:
		return &InvalidError{Problems: p.Problems}
	case ProblemRace:
		return &RaceError{Reviewed: p.Reviewed, InForce: p.InForce, Winner: p.Winner}
	case ProblemUnavailable:
		return &UnavailableError{Reason: p.Detail}
	case ProblemUnknown:
		return &UnknownError{Reason: p.Detail}
	case ProblemRefused:
		return &RefusedError{Reason: p.Detail}
	default:
		return &RefusedError{Reason: p.Title}
	}
}
