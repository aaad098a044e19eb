package ops

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v5"
)

// ProblemType names a kind of failure in a problem+json body.
type ProblemType string

// The problem types of the operators' address.
const (
	ProblemDenied      ProblemType = "urn:waxwingcroft:denied"
	ProblemInvalid     ProblemType = "urn:waxwingcroft:invalid"
	ProblemRace        ProblemType = "urn:waxwingcroft:race"
	ProblemRefused     ProblemType = "urn:waxwingcroft:refused"
	ProblemUnavailable ProblemType = "urn:waxwingcroft:unavailable"
	ProblemUnknown     ProblemType = "urn:waxwingcroft:unknown"
	ProblemOther       ProblemType = "about:blank"
)

// Problem is a problem+json body after RFC 9457; its extension members are in Pascal case.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Problems are the faults of an invalid body.
	Problems []string `json:",omitempty"`
	// Reviewed, InForce and Winner tell of a lost race.
	Reviewed uint64 `json:",omitempty"`
	InForce  uint64 `json:",omitempty"`
	Winner   string `json:",omitempty"`
}

// problemOf turns an error of this package or of echo into what the operator reads.
func problemOf(err error) Problem {
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
	// What may have been done before an unforeseen error is not known.
	return Problem{Type: ProblemUnknown, Status: http.StatusInternalServerError, Detail: err.Error()}
}

func writeProblem(c *echo.Context, err error) {
	if r, _ := echo.UnwrapResponse(c.Response()); r != nil && r.Committed {
		return
	}
	p := problemOf(err)
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

// errorOf turns a problem back into an error of this package.
func errorOf(p Problem) error {
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
