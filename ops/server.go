package ops

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"expvar"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"
	"github.com/labstack/echo/v5/middleware"

	"waxwing.example/croft"
	"waxwing.example/croft/inflow"
	"waxwing.example/croft/serve"
	"waxwing.example/croft/setup"
)

// Options configures the operators' API.
type Options struct {
	// Token is the bearer token that each request must carry.
	Token string
	// BodyBytes is the size limit of a request's body, BodyTimeout the time for it to arrive, zero for no limit.
	BodyBytes   int64
	BodyTimeout croft.Millis
	// Gate limits the memory of requests and responses; it has to be that of the listener, nil for no limit.
	Gate *inflow.Gate
	// Metrics are those of the entry itself, nil for none.
	Metrics expvar.Var
}

// NewHandler returns the handler of the operators' API; every route requires the token.
func NewHandler(backend Backend, options Options) http.Handler {
	s := &server{Options: options, backend: backend, tokenHash: sha256.Sum256([]byte(options.Token))}
	e := echo.New()
	e.HTTPErrorHandler = writeProblem
	e.Use(middleware.Recover(), s.authorize, s.limitMemory)
	e.GET("/v1/status", serveJSON(func() Status { return backend.Status() }))
	e.GET("/v1/config", serveJSON(backend.Config))
	e.GET("/v1/pools", serveJSON(func() []PoolLine { return nonNil(backend.Pools()) }))
	e.GET("/v1/vms", serveJSON(func() []VMLine { return nonNil(backend.VMs()) }))
	e.GET("/v1/jobs", serveJSON(func() []JobLine { return nonNil(backend.Jobs()) }))
	e.GET("/debug/vars", s.serveVars)
	e.POST("/v1/config", s.accept)
	e.POST("/v1/vms/:vm/move", s.move)
	e.POST("/v1/vms/:vm/drain", s.vmCommand(func(id croft.VMID) croft.Command { return croft.DrainVM{VM: id} }))
	e.POST("/v1/vms/:vm/resume", s.vmCommand(func(id croft.VMID) croft.Command { return croft.DrainVM{VM: id, End: true} }))
	e.POST("/v1/vms/:vm/maintain", s.vmCommand(func(id croft.VMID) croft.Command { return croft.MaintainVM{VM: id} }))
	e.POST("/v1/jobs", s.submit)
	e.POST("/v1/jobs/cancel", s.cancel)
	e.POST("/v1/faults/cut", s.cut)
	e.POST("/v1/faults/heal", s.heal)
	return serve.Requests(e, options.BodyTimeout)
}

type server struct {
	Options
	backend Backend
	// tokenHash is the SHA-256 of the token.
	tokenHash [sha256.Size]byte
}

// authorize rejects requests without the token. It compares hashes in constant time, so that the response time reveals
// neither the token's bytes nor its length.
func (s *server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		token, bearer := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		given := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(given[:], s.tokenHash[:]) != 1 || !bearer {
			c.Response().Header().Set("WWW-Authenticate", "Bearer")
			return &DeniedError{}
		}
		return next(c)
	}
}

// serveJSON returns a handler that responds with the result of read.
func serveJSON[T any](read func() T) echo.HandlerFunc {
	return func(c *echo.Context) error { return c.JSON(http.StatusOK, read()) }
}

// nonNil returns an empty slice for nil, so that JSON has an empty list rather than null.
func nonNil[T any](lines []T) []T {
	if lines == nil {
		return []T{}
	}
	return lines
}

// toInvalidError converts a *setup.InvalidError to this package's error and returns any other unchanged.
func toInvalidError(err error) error {
	var settingsErr *setup.InvalidError
	if !errors.As(err, &settingsErr) {
		return err
	}
	problems := make([]string, 0, len(settingsErr.Problems))
	for _, p := range settingsErr.Problems {
		problems = append(problems, p.String())
	}
	return &InvalidError{Problems: problems}
}
