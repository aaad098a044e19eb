package ops

import (
	"errors"
	"net/http"
	"os"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft/inflow"
	"waxwing.example/croft/setup"
)

const (
	// processedFactor is the memory that a byte of a body needs while it is decoded, in bytes, if all of it is fields; package
	// setup limits the number of fields. Large bodies are therefore decoded one at a time.
	processedFactor = 512
	// responses is the number of large responses that may be sent at once; each takes as much of the memory for responses.
	responses = 4
	// bodyKey is the key of the received body in a request's context.
	bodyKey = "body"
)

// limitMemory receives the body of a request within the limits of the gate, and waits until there is memory for the request and
// its response.
func (s *server) limitMemory(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		r := c.Request()
		ctx, conn := r.Context(), inflow.FromContext(r.Context())
		if r.Method != http.MethodPost {
			release, err := s.Gate.Respond(ctx, s.responseBytes())
			if err != nil {
				return errDropped
			}
			defer release()
			return next(c)
		}
		body, err := conn.ReadBody(http.MaxBytesReader(c.Response(), r.Body, s.BodyBytes), r.ContentLength, s.BodyBytes)
		if err != nil {
			return bodyError(c, err)
		}
		conn.SetBodyTimeout(0)
		release, err := s.Gate.Process(ctx, conn, processedFactor*int64(len(body)))
		if err != nil {
			return errDropped
		}
		defer release()
		c.Set(bodyKey, body)
		return next(c)
	}
}

// responseBytes returns the part of the memory for responses that one response takes.
func (s *server) responseBytes() int64 {
	if s.Gate == nil {
		return 0
	}
	return s.Gate.Limits().ResponseBytes / responses
}

// errDropped is returned for a request that was dropped in favour of others; nothing was done.
var errDropped = &UnavailableError{Reason: "the entry has no memory for this request"}

// bodyError returns the error for a body that was not received.
func bodyError(c *echo.Context, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return echo.ErrStatusRequestEntityTooLarge
	case errors.Is(err, inflow.ErrDropped):
		return errDropped
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Response().Header().Set("Connection", "close")
		return echo.ErrRequestTimeout
	default:
		return echo.ErrBadRequest
	}
}

// decodeBody decodes the request's body and checks it by its fields' validate tags.
func decodeBody(c *echo.Context, target any) error {
	body, _ := c.Get(bodyKey).([]byte)
	return toInvalidError(setup.Decode("body", body, target))
}
